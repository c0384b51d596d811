#pragma once

#include <string_view>

namespace lovagetack::cli {

/// Page of the time line; /*ENTRIES*/ is replaced by the entries as JavaScript objects.
inline constexpr std::string_view timeline_template = R"page(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>lovagetack time line</title>
<style>
  body { font: 14px sans-serif; margin: 1em; color: #222; background: #fff; }
  header { display: flex; gap: 1em; align-items: center; flex-wrap: wrap; margin-bottom: .6em; }
  h1 { font-size: 1.2em; margin: 0; }
  input, select { font: inherit; }
  #chart { border: 1px solid #bbb; width: 100%; display: block; }
  #legend span { display: inline-block; margin-right: 1em; }
  #legend i { display: inline-block; width: .8em; height: .8em; margin-right: .3em; }
  table { border-collapse: collapse; width: 100%; margin-top: .6em; }
  td, th { text-align: left; padding: .15em .6em; border-bottom: 1px solid #eee; vertical-align: top; }
  td:last-child { word-break: break-all; }
  tr.chosen { background: #ffe9a8; }
  #more { color: #666; }
</style>
</head>
<body>
<header>
  <h1>lovagetack time line</h1>
  <label>key <input id="key" size="14"></label>
  <label>request <input id="request" size="14"></label>
  <label>event <select id="event"><option value="">all</option></select></label>
  <button id="in">zoom in</button><button id="out">zoom out</button>
  <button id="left">&larr;</button><button id="right">&rarr;</button><button id="all">whole</button>
  <span id="span"></span>
</header>
<div id="legend"></div>
<svg id="chart"></svg>
<table><thead><tr><th>time (UTC)</th><th>instance</th><th>event</th><th>fields</th></tr></thead><tbody id="rows"></tbody></table>
<p id="more"></p>
<script>
"use strict";
const entries = [
/*ENTRIES*/
].map(e => ({ stamp: Number(e.stamp), instance: e.instance, name: e.entry.name,
  fields: Object.fromEntries(e.entry.fields.map(f => [f.key, f.value])) }));
const kinds = [
  ["request", "#7a8fa6", /^request/], ["ownership", "#2a7a2a", /range_|lease|grant|assignment|activ/],
  ["controller", "#7030a0", /controller|authority|epoch|candidate/],
  ["configuration", "#0060c0", /configuration|service_state/],
  ["fault", "#c02020", /unreachable|suspect|lost|lapsed|fail|silent|paused|refus|reject/], ["other", "#888888", /./]];
const fault = kinds[4];
const kind = name => fault[2].test(name) ? fault : kinds.find(k => k[2].test(name));
const instances = [...new Set(entries.map(e => e.instance))].sort();
const first = entries.length ? entries[0].stamp : 0;
const last = entries.length ? entries[entries.length - 1].stamp : 1;
let from = first, to = Math.max(last, first + 1), chosen = null;
const by = id => document.getElementById(id);
const text = stamp => new Date(stamp / 1000).toISOString().slice(11, 23);
for (const name of [...new Set(entries.map(e => e.name))].sort()) by("event").add(new Option(name, name));
for (const [name, colour] of kinds) {
  const item = document.createElement("span"), box = document.createElement("i");
  box.style.background = colour; item.append(box, name); by("legend").append(item);
}
const element = (name, attributes, content) => {
  const node = document.createElementNS("http://www.w3.org/2000/svg", name);
  for (const [key, value] of Object.entries(attributes)) node.setAttribute(key, value);
  if (content !== undefined) node.textContent = content;
  return node;
};
function shown() {
  const key = by("key").value, request = by("request").value, name = by("event").value;
  return entries.filter(e => e.stamp >= from && e.stamp <= to && (!name || e.name === name) &&
    (!key || e.fields.key === key) && (!request || e.fields.request === request));
}
function draw() {
  const list = shown(), left = 150, width = Math.max(by("chart").clientWidth, 400), row = 30, top = 24;
  const svg = by("chart"), height = top + row * instances.length + 8;
  svg.setAttribute("height", height); svg.replaceChildren();
  const x = stamp => left + (width - left - 20) * (stamp - from) / (to - from);
  for (let step = 0; step <= 5; ++step) {
    const stamp = from + (to - from) * step / 5;
    svg.append(element("line", { x1: x(stamp), x2: x(stamp), y1: top - 6, y2: height, stroke: "#e4e4e4" }),
      element("text", { x: x(stamp), y: 14, "font-size": 11, "text-anchor": step === 5 ? "end" : "middle", fill: "#555" }, text(stamp)));
  }
  instances.forEach((instance, index) => {
    const y = top + row * index + row / 2;
    svg.append(element("line", { x1: left, x2: width, y1: y, y2: y, stroke: "#ccc" }),
      element("text", { x: 6, y: y + 4, "font-size": 12 }, instance));
  });
  for (const entry of list.slice(0, 6000)) {
    const y = top + row * instances.indexOf(entry.instance) + row / 2;
    const mark = element("circle", { cx: x(entry.stamp), cy: y, r: entry === chosen ? 7 : 4, fill: kind(entry.name)[1], "fill-opacity": 0.75, cursor: "pointer" });
    mark.append(element("title", {}, text(entry.stamp) + " " + entry.name + " " + JSON.stringify(entry.fields)));
    mark.addEventListener("click", () => { chosen = entry; draw(); });
    svg.append(mark);
  }
  by("span").textContent = list.length + " events in " + ((to - from) / 1e6).toFixed(3) + " s";
  const start = chosen ? Math.max(0, list.indexOf(chosen) - 50) : 0, part = list.slice(start, start + 300);
  by("rows").replaceChildren(...part.map(entry => {
    const line = document.createElement("tr");
    if (entry === chosen) line.className = "chosen";
    for (const value of [text(entry.stamp), entry.instance, entry.name, Object.entries(entry.fields).map(([k, v]) => k + "=" + v).join(" ")]) {
      const cell = document.createElement("td"); cell.textContent = value; line.append(cell);
    }
    line.addEventListener("click", () => { chosen = entry; draw(); });
    return line;
  }));
  by("more").textContent = list.length > start + part.length ? (list.length - start - part.length) + " later events are not listed; zoom in or filter" : "";
}
function move(shift, scale) {
  const middle = chosen ? chosen.stamp : (from + to) / 2, half = (to - from) / 2 * scale;
  const offset = shift * half * 2;
  [from, to] = scale === 1 ? [from + offset, to + offset] : [middle - half, middle + half];
  draw();
}
by("in").onclick = () => move(0, 0.5); by("out").onclick = () => move(0, 2);
by("left").onclick = () => move(-0.5, 1); by("right").onclick = () => move(0.5, 1);
by("all").onclick = () => { from = first; to = Math.max(last, first + 1); draw(); };
for (const id of ["key", "request", "event"]) by(id).addEventListener("input", draw);
window.addEventListener("resize", draw);
draw();
</script>
</body>
</html>
)page";

} // namespace lovagetack::cli
