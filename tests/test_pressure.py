"""Tests of plantainvane.pressure, interference and estimates."""

import random

from plantainvane import documents
from plantainvane import estimates
from plantainvane import interference
from plantainvane import pressure
from plantainvane import resources
from tests import test_claims

SETTINGS = test_claims.make_settings()
STEP = pressure.Step


def run_steps(samples):
    """Feeds (now, ratio) pairs as samples that lag by 1 s."""
    state = pressure.WorkerPressure()
    return [
        pressure.decide_step(SETTINGS, state, ratio, now - 1.0, now)
        for now, ratio in samples
    ]


def test_throttles_first_then_evicts_one_at_a_time():
    # Guards against evictions where throttling would have been enough.
    steps = run_steps([(float(now), 2.0) for now in range(10, 35)])
    assert steps[0] == STEP.THROTTLE
    assert [n for n, step in enumerate(steps) if step == STEP.EVICT] == [
        10,
        20,
    ]


def test_releases_only_after_some_time_below_the_lower_threshold():
    # Guards against throttling that flaps around a single threshold.
    ratios = [2.0, 0.9, 0.9, 0.6, 0.6, 0.8] + [0.6] * 7
    steps = run_steps([(10.0 + n, ratio) for n, ratio in enumerate(ratios)])
    assert steps.index(STEP.RELEASE) == 11
    assert steps.count(STEP.THROTTLE) == 1


def test_a_sample_from_before_a_step_decides_nothing():
    # Guards against an eviction after the throttle has already helped.
    state = pressure.WorkerPressure()
    step = pressure.decide_step(SETTINGS, state, 2.0, 9.0, 10.0)
    assert step == STEP.THROTTLE
    assert pressure.decide_step(SETTINGS, state, 2.0, 9.9, 40.0) == STEP.NONE
    assert pressure.decide_step(SETTINGS, state, 2.0, 39.0, 40.0) == STEP.EVICT


def test_the_victim_is_bulk_then_harmful_then_cheap():
    # Guards against evicting urgent tasks, or work that is costly to repeat.
    victims = [
        pressure.Victim("normal", 1, 9.0, 0.0),
        pressure.Victim("mild", 2, 0.1, 0.0),
        pressure.Victim("z-old", 2, 0.5, 100.0),
        pressure.Victim("young", 2, 0.5, 1.0),
    ]
    assert pressure.pick_victim(victims).task == "young"
    assert pressure.pick_victim([]) is None


def test_only_harmful_classes_are_throttled():
    # Throttling harmless classes costs throughput and does not help a service.
    effects = {"noisy": 0.5, "half": 0.25, "quiet": 0.01}
    assert pressure.pick_throttled_classes(effects) == {"noisy", "half"}
    assert pressure.pick_throttled_classes({"new": 0.0, "other": 0.0}) == {
        "new",
        "other",
    }


def learn(model, effects, samples, seed=1):
    """Feeds samples of random class mixes with additive true effects."""
    source = random.Random(seed)
    for _ in range(samples):
        running = {name: source.randrange(3) for name in effects}
        ratio = 0.3 + sum(effects[name] * running[name] for name in running)
        interference.note_sample(
            SETTINGS, model, "ring", ratio + source.gauss(0, 0.02), running
        )


def test_effects_are_told_apart_in_mixed_samples():
    # Guards against attributing the effect of a noisy class to its neighbours.
    model = interference.Model()
    learn(model, {"noisy": 0.5, "quiet": 0.0}, 300)
    noisy = interference.predict_effect(SETTINGS, model, "ring", "noisy")
    quiet = interference.predict_effect(SETTINGS, model, "ring", "quiet")
    assert 0.4 < noisy < 0.6
    assert abs(quiet) < 0.1


def test_a_new_pair_starts_from_the_class_prior():
    # A new pair must neither ignore the class prior nor trust one sample.
    model = interference.Model()
    learn(model, {"noisy": 0.5}, 200)
    effect = interference.predict_effect(SETTINGS, model, "quote", "noisy")
    assert effect > 0.3
    interference.note_sample(SETTINGS, model, "quote", 0.3, {})
    interference.note_sample(SETTINGS, model, "quote", 5.0, {"noisy": 1})
    effect = interference.predict_effect(SETTINGS, model, "quote", "noisy")
    assert effect < 1.2


def test_an_unknown_class_is_taken_as_harmless():
    # Otherwise a new class would never be placed and so never be measured.
    model = interference.Model()
    assert interference.predict_effect(SETTINGS, model, "ring", "new") == 0


def test_estimates_move_from_the_declaration_to_what_is_measured():
    # Guards against relying on declared run times and sizes that are far off.
    batch_class = documents.BatchClass(
        name="c",
        team="t",
        priority=documents.Priority.BULK,
        size=documents.Size(processors=4),
        expected_run_s=10.0,
    )
    declared = resources.convert_size(batch_class.size)
    estimate = estimates.ClassEstimate()
    assert estimates.predict_run_time(estimate, batch_class) == 10.0
    for _ in range(100):
        estimates.note_run(SETTINGS, estimate, 10.0, 40.0)
        estimates.note_usage(SETTINGS, estimate, declared, 1.0, 0)
    assert 35.0 < estimates.predict_run_time(estimate, batch_class) < 40.0
    use = estimates.predict_use(estimate, declared)
    assert 1000 < use.millis < 1500
