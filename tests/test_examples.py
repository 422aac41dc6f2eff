"""Tests of the documents and deployments in examples/."""

import pathlib
import zlib

import msgspec
import pytest

from plantainvane import documents
from plantainvane import settings as settings_module
from plantainvane import validation
from standins import launcher

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DEPLOYMENTS = sorted(EXAMPLES.glob("*.json"))


@pytest.mark.parametrize("path", DEPLOYMENTS, ids=lambda path: path.stem)
def test_documents_can_be_published_in_their_order(path):
    """Guards against a deployment whose documents cannot all be published."""
    in_force = {}
    for name in launcher.load_deployment(path).documents:
        text = (path.parent / name).read_bytes()
        decoded = validation.decode_document(text, documents.Document)
        assert decoded.is_ok(), (name, decoded)
        in_force[documents.get_key(decoded.ok_value)] = decoded.ok_value
        assert documents.check_set(in_force) == [], name


@pytest.mark.parametrize("path", DEPLOYMENTS, ids=lambda path: path.stem)
def test_classes_of_the_load_are_published(path):
    """Guards against generating load for classes that are not defined."""
    deployment = launcher.load_deployment(path)
    names = {pathlib.PurePath(name).stem for name in deployment.documents}
    assert deployment.requests.keys() <= names
    assert deployment.tasks.keys() <= names
    assert deployment.runner_classes.keys() == deployment.requests.keys()


@pytest.mark.parametrize("path", DEPLOYMENTS, ids=lambda path: path.stem)
def test_planned_settings_are_accepted(path, tmp_path):
    """Guards against planning settings that an entry process rejects."""
    deployment = launcher.load_deployment(path)
    cluster = launcher.plan_cluster(deployment, tmp_path)
    for process in cluster.list_role("entry"):
        file = tmp_path / f"{process.id}.json"
        assert settings_module.load_settings(file).is_ok(), process.id
    assert len(cluster.list_role("worker")) == deployment.workers
    assert len(cluster.list_role("runner")) == deployment.workers


def test_example_tasks_name_published_classes():
    """Guards against example tasks that entry processes would reject."""
    names = {path.stem for path in EXAMPLES.glob("*/*.json")}
    for path in (EXAMPLES / "tasks").glob("*.json"):
        task = msgspec.json.decode(path.read_bytes())
        assert task["task"] == path.stem
        assert task["batch_class"] in names
        assert task["work"]["steps"] > 0


@pytest.mark.parametrize("path", DEPLOYMENTS, ids=lambda path: path.stem)
def test_every_shard_has_a_worker(path, tmp_path):
    """Guards against tasks that cannot run: their shard has no worker."""
    deployment = launcher.load_deployment(path)
    cluster = launcher.plan_cluster(deployment, tmp_path)
    entry = cluster.list_role("entry")[0]
    settings = settings_module.load_settings(tmp_path / f"{entry.id}.json")
    shards = settings.ok_value.claims.shards
    for domain in deployment.domains:
        owned = {
            zlib.crc32(worker.id.encode()) % shards
            for worker in cluster.list_role("worker")
            if worker.domain == domain
        }
        assert owned == set(range(shards)), domain
