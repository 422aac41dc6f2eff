"use strict";

// Interval and limit for polling the versions of the processes after a change
// was published. The limit is three times the time promised for a change.
const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 15000;

let schemas = {};
// The change being edited: {read, base, isNew}, where `read` returns the
// document in the form, or {target, base} for a deletion. `base` is the base
// revision.
let draft = null;
// Revisions of deleted documents by "kind name". Publishing such a document
// again is based on the revision that deleted it.
let deleted = new Map();

const byId = (id) => document.getElementById(id);

function makeElement(tag, text, attributes = {}) {
  const element = document.createElement(tag);
  element.textContent = text;
  for (const [name, value] of Object.entries(attributes)) {
    if (value !== undefined) element.setAttribute(name, value);
  }
  return element;
}

function makeButton(text, action) {
  const button = makeElement("button", text, { type: "button" });
  button.addEventListener("click", action);
  return button;
}

async function call(method, path, body) {
  const options = { method };
  if (body !== undefined) options.body = JSON.stringify(body);
  try {
    const reply = await fetch(path, options);
    return { status: reply.status, body: await reply.json() };
  } catch (error) {
    const unknown = method === "POST" ? "unknown" : "refused";
    const detail = `no complete reply: ${error.message}`;
    return { status: 0, body: { outcome: unknown, detail } };
  }
}

function resolveRef(schema, rootSchema) {
  if (!schema.$ref) return schema;
  return rootSchema.$defs[schema.$ref.split("/").pop()];
}

// Adds the inputs of an object schema to `parent`. Returns a function that
// reads the inputs into a JSON object.
function makeFields(parent, schema, rootSchema, value) {
  const readers = {};
  for (const [name, property] of Object.entries(schema.properties)) {
    const resolved = resolveRef(property, rootSchema);
    const initialValue = value[name] ?? property.default;
    const required = schema.required.includes(name);
    readers[name] = resolved.properties
      ? makeGroup(parent, name, resolved, rootSchema, initialValue ?? {})
      : makeField(parent, name, resolved, initialValue, required);
  }
  return () => {
    const entries = Object.entries(readers).map(([n, read]) => [n, read()]);
    return Object.fromEntries(entries.filter(([, v]) => v !== undefined));
  };
}

function makeGroup(parent, name, schema, rootSchema, value) {
  const group = makeElement("fieldset", "");
  group.append(makeElement("legend", name));
  parent.append(group);
  return makeFields(group, schema, rootSchema, value);
}

function makeField(parent, name, schema, initialValue, required) {
  const label = makeElement("label", "", { class: "field" });
  label.append(makeElement("span", required ? `${name} (required)` : name));
  const input = makeInput(schema, initialValue, required);
  label.append(
    input,
    makeElement("span", describeConstraints(schema), { class: "hint" }),
  );
  parent.append(label);
  if (schema.type === "boolean") return () => input.checked;
  if (schema.type === "integer" || schema.type === "number") {
    return () => (input.value === "" ? undefined : Number(input.value));
  }
  return () => (input.value === "" ? undefined : input.value);
}

function makeInput(schema, initialValue, required) {
  if (schema.enum) {
    const select = makeElement("select", "");
    for (const option of schema.enum) {
      select.append(makeElement("option", option, { value: option }));
    }
    select.value = initialValue ?? schema.enum[0];
    return select;
  }
  const types = { boolean: "checkbox", integer: "number", number: "number" };
  const input = makeElement("input", "", {
    type: types[schema.type] ?? "text",
    min: schema.minimum ?? schema.exclusiveMinimum,
    max: schema.maximum,
    step: schema.type === "number" ? "any" : undefined,
    pattern: schema.pattern,
    maxlength: schema.maxLength,
  });
  input.required = required;
  if (schema.type === "boolean") input.checked = Boolean(initialValue);
  else input.value = initialValue ?? "";
  return input;
}

function describeConstraints(schema) {
  const parts = [];
  if (schema.type) parts.push(schema.type);
  if (schema.minimum !== undefined) parts.push(`at least ${schema.minimum}`);
  if (schema.exclusiveMinimum !== undefined) {
    parts.push(`above ${schema.exclusiveMinimum}`);
  }
  if (schema.maximum !== undefined) parts.push(`at most ${schema.maximum}`);
  if (schema.pattern) parts.push("lower-case letters, digits and hyphens");
  return parts.join(", ");
}

function openForm(kind, value, base) {
  const rootSchema = schemas[kind];
  const form = byId("form");
  form.replaceChildren();
  const read = makeFields(
    form, resolveRef(rootSchema, rootSchema), rootSchema, value);
  draft = { base, read, isNew: !base };
  const state = base ? `based on revision ${base}` : "new";
  byId("form-title").textContent = `${kind} ${value.name ?? ""} (${state})`;
  showDraft();
}

function openDeletion(kind, name, base) {
  byId("form").replaceChildren();
  byId("form-title").textContent = `Delete ${kind} ${name} (revision ${base})`;
  draft = { base, target: { kind, name } };
  showDraft();
}

function makeChange() {
  const change = { base_revision: draft.base, author: byId("author").value };
  if (draft.target) return { target: draft.target, ...change };
  return { document: draft.read(), ...change };
}

function showDraft() {
  byId("buttons").hidden = draft === null;
  if (draft) {
    byId("preview").textContent = JSON.stringify(makeChange(), null, 2);
  }
}

async function checkDraft() {
  const change = makeChange();
  const reply = await call("POST", "documents/check", { changes: [change] });
  if (reply.status === 200) showSuccess("No faults. Nothing was published.");
  else showRefusal(reply.body.verdicts?.[0] ?? reply.body);
}

async function publishDraft() {
  // Sends exactly what the preview shows.
  const change = JSON.parse(byId("preview").textContent);
  byId("publish").disabled = true;
  const reply = await call("POST", "documents", change);
  byId("publish").disabled = false;
  if (reply.status !== 200) {
    showRefusal(reply.body);
    if (reply.status === 409) await showDocuments();
    return;
  }
  const { kind, name, revision, version } = reply.body;
  draft = null;
  showDraft();
  byId("form").replaceChildren();
  byId("form-title").textContent = "No document chosen";
  showSuccess(`${kind} ${name}: revision ${revision}, version ${version}.`);
  await showDocuments();
  await pollVersions(version);
}

function showSuccess(text) {
  const line = makeElement("p", text, { class: "done" });
  byId("result").replaceChildren(line);
}

function showRefusal(body) {
  const unknown = body.outcome === "unknown";
  const title = unknown ? "It is not known whether this took effect." :
    "Refused; nothing was changed.";
  const list = makeElement("ul", "");
  const lines = (body.faults ?? []).map((f) => `${f.path} ${f.reason}`);
  if (!lines.length) lines.push(body.detail);
  for (const line of lines) list.append(makeElement("li", line));
  const parts = [makeElement("p", title, { class: "refused" }), list];
  if (body.reason === "stale") parts.push(...makeConflictDetails(body));
  byId("result").replaceChildren(...parts);
}

function makeConflictDetails(body) {
  const list = makeElement("ul", "");
  for (const change of body.changes) {
    const author = change.author || "unknown";
    const text = `revision ${change.revision} by ${author}: ` +
      JSON.stringify(change.document);
    list.append(makeElement("li", text));
  }
  const parts = [makeElement("p", "Changes since the base revision:"), list];
  if (body.document) {
    parts.push(makeButton("Edit the revision in force", () =>
      openForm(body.kind, body.document, body.revision)));
  }
  return parts;
}

async function showDocuments() {
  const reply = await call("GET", "documents");
  if (reply.status !== 200) {
    showRefusal(reply.body);
    return;
  }
  byId("version").textContent = reply.body.version;
  const rows = reply.body.documents.map(({ revision, document: value }) => {
    const row = makeElement("tr", "");
    for (const text of [value.kind, value.name, revision]) {
      row.append(makeElement("td", text));
    }
    const cell = makeElement("td", "");
    cell.append(
      makeButton("Edit", () => openForm(value.kind, value, revision)),
      makeButton("Delete", () =>
        openDeletion(value.kind, value.name, revision)),
    );
    row.append(cell);
    return row;
  });
  byId("documents").replaceChildren(...rows);
  deleted = new Map(reply.body.deleted.map(
    (d) => [`${d.kind} ${d.name}`, d.revision]));
}

async function showVersions(expected) {
  const reply = await call("GET", "versions");
  if (reply.status !== 200) return false;
  const rows = reply.body.processes.map((process) => {
    const row = makeElement("tr", "");
    let state = process.ready ? "ready" : "not ready";
    if (process.heard_s > 0) {
      state += `, heard ${process.heard_s.toFixed(1)} s ago`;
    }
    if (expected !== undefined) {
      state =
        `${process.version >= expected ? "in force" : "waiting"}, ${state}`;
    }
    for (const text of [process.id, process.domain, process.version, state]) {
      row.append(makeElement("td", text));
    }
    return row;
  });
  byId("processes").replaceChildren(...rows);
  return reply.body.processes.every((p) => p.version >= (expected ?? 0));
}

async function pollVersions(version) {
  const end = Date.now() + POLL_TIMEOUT_MS;
  while (!(await showVersions(version)) && Date.now() < end) {
    await new Promise((wake) => setTimeout(wake, POLL_INTERVAL_MS));
  }
}

function updateBaseRevision() {
  if (draft && draft.isNew) {
    const { kind, name } = draft.read();
    draft.base = deleted.get(`${kind} ${name}`) ?? 0;
  }
}

async function start() {
  schemas = (await call("GET", "schemas")).body;
  for (const kind of Object.keys(schemas)) {
    if (kind === "settings") continue;
    byId("kinds").append(
      makeButton(`New ${kind}`, () => openForm(kind, {}, 0)));
  }
  byId("form").addEventListener("input", () => {
    updateBaseRevision();
    showDraft();
  });
  byId("form").addEventListener("submit", (event) => event.preventDefault());
  byId("author").addEventListener("input", showDraft);
  byId("check").addEventListener("click", checkDraft);
  byId("publish").addEventListener("click", publishDraft);
  await showDocuments();
  await showVersions();
}

start();
