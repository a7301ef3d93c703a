// Replays random event sequences, recorded from the C++ core by tests/core_traces.cpp, and checks that the TypeScript
// core returns exactly the same actions.
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { test } from "node:test";
import { Core, defaultRetryPolicy } from "../../core/core.js";
import type { Action, Answer } from "../../core/core.js";

// One recorded event, with the actions that the C++ core returned and its next due time.
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
  sendParameters?: object;
  answer: Answer;
  retryAfter: number;
  directorDrains: boolean;
  actions: Action[];
  due: number;
}

const traces = process.env["LUPINSILL_TRACES"];

test("random event sequences give the same actions in both languages", { skip: traces === undefined }, () => {
  const text = execFileSync(traces!, ["200", "1"], { encoding: "utf8", maxBuffer: 1 << 30 });
  let actionCount = 0;
  for (const line of text.split("\n").filter((l) => l !== "")) {
    const trace = JSON.parse(line) as { seed: number; events: Event[] };
    const endpoints = [
      { address: "a:1", zone: "north" },
      { address: "b:1", zone: "north" },
      { address: "c:1", zone: "south" },
    ];
    const core = new Core(endpoints, { ...defaultRetryPolicy, zone: "north" }, trace.seed);
    trace.events.forEach((e, step) => {
      const actions: Action[] = [];
      if (e.event === "submit")
        core.submit(e.now, { id: e.id, key: e.key, unsafe: e.unsafe, timeout: e.timeout }, actions);
      else if (e.event === "beginSend") {
        const parameters = core.beginSend(e.now, e.attempt, e.director);
        // The trace omits undefined values, since JSON cannot express them; the round trip removes them here too.
        const defined = parameters && JSON.parse(JSON.stringify(parameters));
        assert.deepEqual(defined, e.sendParameters, `seed ${trace.seed}, step ${step}`);
      } else if (e.event === "failed") core.failed(e.now, e.attempt, actions, e.unread);
      else if (e.event === "answered")
        core.answered(e.now, e.attempt, e.answer, e.retryAfter, e.directorDrains, actions);
      else if (e.event === "cancel") core.cancel(e.now, e.id, actions);
      else core.tick(e.now, actions);
      assert.deepEqual(actions, e.actions, `seed ${trace.seed}, step ${step}`);
      assert.equal(core.due(), e.due, `seed ${trace.seed}, step ${step}`);
      actionCount += actions.length;
    });
  }
  assert.ok(actionCount > 4_000);
});
