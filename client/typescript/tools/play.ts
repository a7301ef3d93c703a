// Executes a script of requests (docs/protocol/script.md) with the TypeScript library over the package `ws`:
//   node play.js SCRIPT DIRECTOR[,DIRECTOR...] LIBRARY-NAME CONCURRENCY PAUSE-MS
// CONCURRENCY sequences run at the same time, with PAUSE-MS after each one. Prints one line of results for each
// sequence. `lupinsill lab clients` runs it to compare the client libraries.
import { readFileSync } from "node:fs";
import { WebSocket } from "ws";
import { SessionClient } from "../src/index.js";
import type { SocketLike } from "../src/index.js";

// One request of a script; `paid` means that it must not be executed twice.
interface ScriptedRequest {
  title: string;
  room: string;
  paid: boolean;
  timeoutMs: number;
}
// One line of a script: requests that one client makes one after the other.
interface Sequence {
  sequence: number;
  seed: number;
  wishes: ScriptedRequest[];
}

const [script = "", directors = "", name = "typescript", concurrency = "1", pauseMs = "0"] = process.argv.slice(2);
const sequences = readFileSync(script, "utf8")
  .split("\n")
  .filter((line) => line !== "")
  .map((line) => JSON.parse(line) as Sequence);
const endpoints = directors.split(",").map((address) => ({ address, zone: "here" }));

function playRequest(client: SessionClient, viewer: string, request: ScriptedRequest): Promise<string> {
  return new Promise((resolve) => {
    const id = client.subscribe(
      {
        viewer,
        title: `${request.title}.${name}`,
        room: request.room,
        unsafe: request.paid,
        timeout: request.timeoutMs * 1000,
      },
      {
        onResult: (_, { result }) => {
          if (result === "playing") client.leave(id);
          resolve(result);
        },
      },
    );
  });
}

async function playSequence(sequence: Sequence): Promise<void> {
  const client = new SessionClient(endpoints, {
    seed: sequence.seed,
    retryPolicy: { zone: "here", minRetries: 20 },
    makeSocket: (url, protocol) => new WebSocket(url, protocol) as unknown as SocketLike,
  });
  const results: string[] = [];
  for (const request of sequence.wishes)
    results.push(await playRequest(client, `${name}-${sequence.sequence}`, request));
  process.stdout.write(JSON.stringify({ sequence: sequence.sequence, results }) + "\n");
}

// Requests with these titles make the director lose its ledger. It then rejects recent keys for a while, because it
// cannot know whether they were used before; the pause keeps that from affecting the next sequence.
const ledgerLossPrefix = "wipe";
const ledgerLossPauseMs = 4000;

function pauseAfterMs(sequence: Sequence): number {
  const losesLedger = sequence.wishes.some((request) => request.title.startsWith(ledgerLossPrefix));
  return losesLedger ? ledgerLossPauseMs : Number(pauseMs);
}

async function worker(queue: Sequence[]): Promise<void> {
  for (let sequence = queue.shift(); sequence !== undefined; sequence = queue.shift()) {
    await playSequence(sequence);
    await new Promise((done) => setTimeout(done, pauseAfterMs(sequence)));
  }
}

await Promise.all(Array.from({ length: Number(concurrency) }, () => worker(sequences)));
process.exit(0);
