// The core in TypeScript does what the core in C++ does, act for act, over random sequences of events.
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { test } from "node:test";
import { Core, defaultRetryPolicy } from "../../core/core.js";
import type { Action, Answer } from "../../core/core.js";

interface Event {
  now: number;
  event: string;
  id: number;
  key: string;
  unsafe: boolean;
  timeout: number;
  attempt: number;
  unread: boolean;
  director: string;
  sending?: object;
  answer: Answer;
  retryAfter: number;
  drains: boolean;
  acts: Action[];
  due: number;
}

const traces = process.env["LUPINSILL_TRACES"];

test("random sequences give the same acts in both languages", { skip: traces === undefined }, () => {
  const text = execFileSync(traces!, ["200", "1"], { encoding: "utf8", maxBuffer: 1 << 30 });
  let acts = 0;
  for (const line of text.split("\n").filter((l) => l !== "")) {
    const trace = JSON.parse(line) as { seed: number; events: Event[] };
    const places = [
      { address: "a:1", building: "north" },
      { address: "b:1", building: "north" },
      { address: "c:1", building: "south" },
    ];
    const core = new Core(places, { ...defaultRetryPolicy, building: "north" }, trace.seed);
    trace.events.forEach((e, step) => {
      const out: Action[] = [];
      if (e.event === "submit")
        core.submit(e.now, { id: e.id, key: e.key, unsafe: e.unsafe, timeout: e.timeout }, out);
      else if (e.event === "beginSend") {
        const sending = core.beginSend(e.now, e.attempt, e.director);
        // JSON has no undefined: what is left out there is undefined here.
        assert.deepEqual(sending && JSON.parse(JSON.stringify(sending)), e.sending, `seed ${trace.seed}, step ${step}`);
      }
      else if (e.event === "failed") core.failed(e.now, e.attempt, out, e.unread);
      else if (e.event === "answered") core.answered(e.now, e.attempt, e.answer, e.retryAfter, e.drains, out);
      else if (e.event === "cancel") core.cancel(e.now, e.id, out);
      else core.tick(e.now, out);
      assert.deepEqual(out, e.acts, `seed ${trace.seed}, step ${step}`);
      assert.equal(core.due(), e.due, `seed ${trace.seed}, step ${step}`);
      acts += out.length;
    });
  }
  assert.ok(acts > 4_000);
});
