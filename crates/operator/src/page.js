// Shows the state that /screen/events sends. Rates are computed from the difference between the
// newest state and one that is about WINDOW_MS older. Lists are truncated to what fits a wall
// screen: entry VMs and backend servers with problems come first, and the number of omitted lines
// is shown.
"use strict";

const STALE_MS = 4000; // age above which a state or line is shown as outdated; timeout of the login check
const RESTART_MS = 10000; // time without a new state after which the connection is reopened
const RECONNECT_MS = 1000; // delay before a connection is reopened
const WINDOW_MS = 10000; // time over which rates are computed
const JOIN_MS = 30000; // time within which equal changes are merged
const LIMITS = { classes: 8, customers: 10, entries: 9, tiles: 14, centres: 4, stops: 4, faults: 3, changes: 30 };
const STAGE_ORDER = { ejected: 0, leaving: 1, joining: 2, serving: 3 };
const byId = (id) => document.getElementById(id);
const startedAt = Date.now();
let history = [];
let receivedAt = 0;
let lastError = "";
let source = null;

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

// Returns the first lines and shows next to the heading how many are omitted.
function truncate(kind, lines) {
  const more = byId(kind + "-more");
  if (more) {
    const left = lines.length - LIMITS[kind];
    more.textContent = left > 0 ? `${lines.length}, ${left} not shown` : lines.length ? String(lines.length) : "none";
  }
  return lines.slice(0, LIMITS[kind]);
}

function percent(value) {
  return value === null ? "–" : (100 * value).toFixed(1) + " %";
}

function seconds(ms) {
  if (ms === null) return "not seen";
  const age = ms / 1000;
  return age < 120 ? age.toFixed(0) + " s" : (age / 60).toFixed(0) + " min";
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
  const state = history[history.length - 1];
  const before = history[0];
  if (before === state) return { count: line.count, seconds: null };
  const other = before[kind].find((candidate) => candidate.name === line.name);
  const elapsed = Math.max(0.001, (state.at_unix_ms - before.at_unix_ms) / 1000);
  return { count: difference(line.count, other && other.count), seconds: elapsed };
}

function rate(value, elapsed) {
  return elapsed === null ? "–" : (value / elapsed).toFixed(1);
}

function levelClass(value, good, fair) {
  if (value === null) return "dim";
  return value >= good ? "ok" : value >= fair ? "warn" : "bad";
}

function showClasses(state) {
  fill("classes", truncate("classes", state.classes).map((line) => {
    const { count, seconds: elapsed } = recentCount("classes", line);
    const recent = attainment(count);
    const generated = count.useful_tokens + count.wasted_tokens;
    const waste = generated > 0 ? count.wasted_tokens / generated : null;
    return row([
      line.name, String(line.tier),
      text("td", percent(recent), levelClass(recent, 0.95, 0.8)),
      line.first_token_target_ms + " ms",
      text("td", String(line.queued), line.queued ? "warn" : ""), String(line.running),
      rate(count.whole, elapsed), rate(count.goodput, elapsed),
      text("td", String(line.count.shed), count.shed ? "bad" : line.count.shed ? "warn" : "dim"),
      text("td", String(line.count.failed), count.failed ? "bad" : line.count.failed ? "warn" : "dim"),
      percent(waste),
    ]);
  }));
}

function trafficBar(usedShare, dueShare) {
  const cell = text("td", "");
  const frame = text("span", "", "bar");
  const level = document.createElement("i");
  level.style.width = Math.min(100, 100 * usedShare) + "%";
  const mark = document.createElement("u");
  mark.style.left = Math.min(100, 100 * dueShare) + "%";
  frame.append(level, mark);
  cell.append(frame, " " + percent(usedShare));
  return cell;
}

function showCustomers(state) {
  const lines = state.customers.map((line) => ({ line, ...recentCount("customers", line) }));
  const total = lines.reduce((sum, each) => sum + each.count.accepted, 0);
  const shares = state.customers.reduce((sum, line) => sum + line.share, 0);
  lines.sort((a, b) => b.line.share - a.line.share || b.count.accepted - a.count.accepted || a.line.name.localeCompare(b.line.name));
  fill("customers", truncate("customers", lines).map(({ line, count, seconds: elapsed }) => {
    const usedShare = total > 0 ? count.accepted / total : 0;
    const dueShare = shares > 0 ? line.share / shares : 0;
    const shown = attainment(count);
    return row([
      line.name, percent(dueShare), trafficBar(usedShare, dueShare), rate(count.accepted, elapsed),
      text("td", percent(shown), levelClass(shown, 0.95, 0.8)),
      text("td", String(line.count.over_limit), count.over_limit ? "bad" : line.count.over_limit ? "warn" : "dim"),
    ]);
  }));
}

function backendTile(line) {
  const tile = text("div", "", "tile " + line.stage);
  tile.title = line.reason;
  const stage = line.stage === "serving" ? "" : line.stage + " ";
  const speed = line.stage === "serving" ? ` ×${line.speed.toFixed(1)}` : "";
  tile.append(text("b", line.name), `${stage}${line.running}/${line.limit}${speed}`);
  const old = line.age_ms === null ? "not seen" : line.age_ms > STALE_MS ? seconds(line.age_ms) + " old" : "";
  const note = [old, line.reason].filter(Boolean).join(": ");
  if (note) tile.append(text("div", note, old ? "warn" : "dim"));
  return tile;
}

function showBackends(state) {
  const unseen = new Set(state.centres.filter((centre) => !centre.seen).map((centre) => centre.name));
  const groups = new Map();
  for (const line of state.backends) {
    if (!groups.has(line.centre)) groups.set(line.centre, []);
    groups.get(line.centre).push(line);
  }
  const problemCount = ([centre, lines]) => (unseen.has(centre) ? 1000000 : 0) + lines.filter((line) => line.stage !== "serving").length;
  const ordered = [...groups].sort((a, b) => problemCount(b) - problemCount(a) || a[0].localeCompare(b[0]));
  const shown = ordered.slice(0, LIMITS.centres);
  const names = new Intl.Collator(undefined, { numeric: true });
  const elements = shown.map(([centre, lines]) => {
    lines.sort((a, b) => STAGE_ORDER[a.stage] - STAGE_ORDER[b.stage] || names.compare(a.name, b.name));
    const running = lines.reduce((sum, line) => sum + line.running, 0);
    const limit = lines.reduce((sum, line) => sum + line.limit, 0);
    const serving = lines.filter((line) => line.stage === "serving").length;
    const group = text("div", "", unseen.has(centre) ? "centre cut" : "centre");
    const tiles = text("div", "", "tiles");
    const tileCount = lines.length > LIMITS.tiles ? LIMITS.tiles - 1 : lines.length;
    for (const line of lines.slice(0, tileCount)) tiles.append(backendTile(line));
    if (tileCount < lines.length) tiles.append(text("div", `${lines.length - tileCount} more`, "tile more"));
    const seen = unseen.has(centre) ? "NOT SEEN, last known: " : "";
    group.append(text("span", `${centre} · ${seen}${serving} of ${lines.length} serving · ${running}/${limit} running`), tiles);
    return group;
  });
  if (ordered.length > shown.length) elements.push(text("div", `${ordered.length - shown.length} more data centres without more trouble`, "dim"));
  byId("backends").replaceChildren(...elements);
}

function showEntries(state) {
  const isHealthy = (line) => line.stage === "live" && line.revision >= state.revision && line.age_ms !== null && line.age_ms <= STALE_MS;
  const lines = [...state.entries];
  if (lines.length > LIMITS.entries) lines.sort((a, b) => Number(isHealthy(a)) - Number(isHealthy(b)));
  fill("entries", truncate("entries", lines).map((line) => {
    const behind = line.revision < state.revision;
    const old = line.age_ms === null || line.age_ms > STALE_MS;
    return row([
      line.name, line.centre, text("td", line.stage, line.stage === "live" ? "ok" : "warn"),
      text("td", behind ? `${line.revision} behind` : String(state.revision), behind ? "bad" : ""),
      String(line.pending), String(line.held),
      text("td", seconds(line.age_ms), old ? "warn" : ""),
    ], old ? "old" : "");
  }));
}

function showRest(state) {
  const unseen = state.centres.filter((centre) => !centre.seen);
  byId("centres").textContent = unseen.length
    ? "NOT SEEN: " + unseen.map((c) => `${c.name} for ${seconds(c.unseen_ms)}`).join(", ")
    : `${state.centres.length} data centres seen`;
  byId("centres").className = unseen.length ? "bad" : "ok";
  byId("source").textContent = `${state.shown_by} · revision ${state.revision} · ${state.policy}`;
  fill("stops", truncate("stops", state.stops).map((line) => row([line.name, line.target, String(line.streams_left), line.reason])));
  fill("faults", truncate("faults", state.faults).map((line) => row([text("td", line.key, "bad"), line.message])));
  const newest = state.changes[0];
  byId("changes-age").textContent = newest ? `the last one ${seconds(Math.max(0, state.at_unix_ms - newest.at_unix_ms))} ago` : "none";
  fill("changes", mergeChanges(state).slice(0, LIMITS.changes).map((line) => row([
    new Date(line.at_unix_ms).toLocaleTimeString("en-GB"),
    line.seen_by.size > 1 ? `${line.seen_by.size} entry VMs` : [...line.seen_by][0],
    line.shown,
  ])));
}

// Replaces instance identifiers by names and merges changes that several entry VMs observed.
function mergeChanges(state) {
  const lines = [];
  for (const change of state.changes) {
    let shown = `${change.what}: ${change.reason}`;
    for (const entry of state.entries) shown = shown.replaceAll(entry.instance, entry.name);
    const known = lines.find((line) => line.shown === shown && line.at_unix_ms - change.at_unix_ms < JOIN_MS);
    if (known) known.seen_by.add(change.seen_by);
    else lines.push({ at_unix_ms: change.at_unix_ms, seen_by: new Set([change.seen_by]), shown });
  }
  return lines;
}

function show(state) {
  history.push(state);
  while (history.length > 2 && state.at_unix_ms - history[1].at_unix_ms >= WINDOW_MS) history.shift();
  byId("login").hidden = true;
  byId("board").hidden = false;
  showClasses(state);
  showCustomers(state);
  showBackends(state);
  showEntries(state);
  showRest(state);
  receivedAt = Date.now();
  lastError = "";
}

function onState(event) {
  try {
    show(JSON.parse(event.data));
  } catch (error) {
    lastError = String(error);
  }
}

function showAge() {
  if (!byId("login").hidden) return;
  const age = Date.now() - (receivedAt || startedAt);
  const stale = age > STALE_MS;
  document.body.classList.toggle("stale", stale);
  byId("age").className = stale ? "bad" : receivedAt ? "ok" : "";
  byId("age").textContent = stale
    ? `NO NEW STATE FOR ${seconds(age)} ${lastError}`
    : receivedAt ? `state ${seconds(age)} old` : "waiting for the first state";
  if (source && age > RESTART_MS && age % RESTART_MS < 500) restart();
}

// Opens a new connection. One that was lost without a close raises no error, so it is also
// replaced when no state arrives.
function restart() {
  if (source) source.close();
  source = null;
  setTimeout(follow, RECONNECT_MS);
}

async function follow() {
  const probe = await fetch("/screen", { signal: AbortSignal.timeout(STALE_MS) }).catch(() => null);
  if (probe && probe.status === 401) {
    byId("login").hidden = false;
    byId("board").hidden = true;
    byId("age").className = "";
    byId("age").textContent = "the operators' key is needed";
    return;
  }
  source = new EventSource("/screen/events");
  source.onmessage = onState;
  source.onerror = restart;
}

setInterval(showAge, 500);
follow();
