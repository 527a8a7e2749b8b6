// Shows the state that /screen/events sends. Rates come from the difference of two states.
"use strict";

const STALE_MS = 4000;
const RECONNECT_MS = 1000;
const byId = (id) => document.getElementById(id);
let last = null;
let previous = null;
let received = 0;

function text(tag, value, className) {
  const element = document.createElement(tag);
  element.textContent = value;
  if (className) element.className = className;
  return element;
}

function fill(id, rows) {
  byId(id).tBodies[0].replaceChildren(...rows);
}

function row(cells, className) {
  const line = document.createElement("tr");
  for (const cell of cells) line.append(cell instanceof Node ? cell : text("td", cell));
  if (className) line.className = className;
  return line;
}

function percent(value) {
  return value === null ? "–" : (100 * value).toFixed(1) + " %";
}

function attainment(count) {
  const ended = count.whole + count.shed + count.failed;
  return ended > 0 ? count.on_time / ended : null;
}

function difference(now, before) {
  if (!before) return now;
  const change = {};
  for (const key of Object.keys(now)) change[key] = Math.max(0, now[key] - before[key]);
  return change;
}

function recentCount(kind, line) {
  if (!previous) return { count: line.count, seconds: null };
  const before = previous[kind].find((other) => other.name === line.name);
  const seconds = Math.max(0.001, (last.at_unix_ms - previous.at_unix_ms) / 1000);
  return { count: difference(line.count, before && before.count), seconds };
}

function rate(value, seconds) {
  return seconds === null ? "–" : (value / seconds).toFixed(1);
}

function grade(value, good, fair) {
  if (value === null) return "dim";
  return value >= good ? "ok" : value >= fair ? "warn" : "bad";
}

function showClasses(state) {
  fill("classes", state.classes.map((line) => {
    const { count, seconds } = recentCount("classes", line);
    const recent = attainment(count);
    const shown = recent === null ? attainment(line.count) : recent;
    const made = count.useful_tokens + count.wasted_tokens;
    const waste = made > 0 ? count.wasted_tokens / made : null;
    return row([
      line.name, String(line.tier),
      text("td", percent(shown), grade(shown, 0.95, 0.8)),
      line.first_token_target_ms + " ms", String(line.queued), String(line.running),
      rate(count.whole, seconds), rate(count.goodput, seconds),
      text("td", String(line.count.shed), line.count.shed ? "warn" : "dim"),
      text("td", String(line.count.failed), line.count.failed ? "bad" : "dim"),
      percent(waste),
    ]);
  }));
}

function showCustomers(state) {
  const total = state.customers.reduce((sum, line) => sum + recentCount("customers", line).count.accepted, 0);
  const shares = state.customers.reduce((sum, line) => sum + line.share, 0);
  fill("customers", state.customers.map((line) => {
    const { count, seconds } = recentCount("customers", line);
    const used = total > 0 ? count.accepted / total : 0;
    const bar = text("td", "");
    const frame = text("span", "", "bar");
    const level = document.createElement("i");
    level.style.width = Math.min(100, 100 * used) + "%";
    frame.append(level);
    bar.append(frame, " " + percent(used));
    const shown = attainment(count) ?? attainment(line.count);
    return row([
      line.name, percent(shares > 0 ? line.share / shares : null), bar,
      rate(count.accepted, seconds),
      text("td", percent(shown), grade(shown, 0.95, 0.8)),
      text("td", String(line.count.over_limit), line.count.over_limit ? "warn" : "dim"),
    ]);
  }));
}

function showBackends(state) {
  const groups = new Map();
  for (const line of state.backends) {
    if (!groups.has(line.centre)) groups.set(line.centre, []);
    groups.get(line.centre).push(line);
  }
  byId("backends").replaceChildren(...[...groups].map(([centre, lines]) => {
    const group = text("div", "", "centre");
    const tiles = text("div", "", "tiles");
    for (const line of lines) {
      const tile = text("div", "", "tile " + line.stage);
      tile.title = line.reason;
      tile.append(text("b", line.name), `${line.stage} ${line.running}/${line.limit} ×${line.speed.toFixed(1)}`);
      if (line.reason) tile.append(text("div", line.reason, "dim"));
      tiles.append(tile);
    }
    group.append(text("span", centre), tiles);
    return group;
  }));
}

function showEntries(state) {
  fill("entries", state.entries.map((line) => row([
    line.name, line.centre, text("td", line.stage, line.stage === "live" ? "ok" : "warn"),
    text("td", String(line.revision), line.revision < state.revision ? "bad" : ""),
    String(line.pending), String(line.held), (line.age_ms / 1000).toFixed(0) + " s",
  ], line.age_ms > STALE_MS ? "old" : "")));
}

function showRest(state) {
  const unseen = state.centres.filter((centre) => !centre.seen);
  byId("centres").textContent = unseen.length
    ? "NOT SEEN: " + unseen.map((c) => `${c.name} for ${(c.unseen_ms / 1000).toFixed(0)} s`).join(", ")
    : `${state.centres.length} data centres seen`;
  byId("centres").className = unseen.length ? "bad" : "ok";
  byId("source").textContent = `${state.shown_by} · revision ${state.revision} · ${state.policy}`;
  fill("stops", state.stops.map((line) => row([line.name, line.target, String(line.streams_left), line.reason])));
  fill("faults", state.faults.map((line) => row([text("td", line.key, "bad"), line.message])));
  fill("changes", state.changes.slice(0, 14).map((line) => row([
    new Date(line.at_unix_ms).toLocaleTimeString(), line.seen_by, line.what, line.reason,
  ])));
}

function show(state) {
  previous = last;
  last = state;
  received = Date.now();
  byId("login").hidden = true;
  byId("board").hidden = false;
  showClasses(state);
  showCustomers(state);
  showBackends(state);
  showEntries(state);
  showRest(state);
}

function showAge() {
  if (!received) return;
  const age = Date.now() - received;
  const stale = age > STALE_MS;
  document.body.classList.toggle("stale", stale);
  byId("age").className = stale ? "bad" : "ok";
  byId("age").textContent = stale
    ? `NO NEW STATE FOR ${(age / 1000).toFixed(0)} s` : `state ${(age / 1000).toFixed(0)} s old`;
}

async function follow() {
  const probe = await fetch("/screen").catch(() => null);
  if (probe && probe.status === 401) {
    byId("login").hidden = false;
    byId("age").textContent = "the operators' key is needed";
    return;
  }
  const events = new EventSource("/screen/events");
  events.onmessage = (event) => show(JSON.parse(event.data));
  events.onerror = () => {
    events.close();
    setTimeout(follow, RECONNECT_MS);
  };
}

setInterval(showAge, 500);
follow();
