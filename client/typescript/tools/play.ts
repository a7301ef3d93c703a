// Plays a script (docs/protocol/script.md) through the library, over the package `ws`:
//   node play.js SCRIPT DIRECTOR[,DIRECTOR...] LIBRARY-NAME AT-ONCE PAUSE-MS
// A line of results comes out for each sequence. Used by `lupinsill lab clients`.
import { readFileSync } from "node:fs";
import { WebSocket } from "ws";
import { SessionClient } from "../src/index.js";
import type { SocketLike } from "../src/index.js";

interface WishLine {
  title: string;
  room: string;
  paid: boolean;
  timeoutMs: number;
}
interface Sequence {
  sequence: number;
  seed: number;
  wishes: WishLine[];
}

const [script = "", directors = "", name = "typescript", atOnce = "1", pauseMs = "0"] = process.argv.slice(2);
const sequences = readFileSync(script, "utf8")
  .split("\n")
  .filter((line) => line !== "")
  .map((line) => JSON.parse(line) as Sequence);
const places = directors.split(",").map((address) => ({ address, building: "here" }));

function playWish(client: SessionClient, viewer: string, wish: WishLine): Promise<string> {
  return new Promise((resolve) => {
    const id = client.ask(
      { viewer, title: `${wish.title}.${name}`, room: wish.room, unsafe: wish.paid, timeout: wish.timeoutMs * 1000 },
      {
        onResult: (_, heard) => {
          if (heard.result === "playing") client.leave(id);
          resolve(heard.result);
        },
      },
    );
  });
}

async function playSequence(sequence: Sequence): Promise<void> {
  const client = new SessionClient(places, {
    seed: sequence.seed,
    manners: { building: "here", minRetries: 20 },
    makeSocket: (url, protocol) => new WebSocket(url, protocol) as unknown as SocketLike,
  });
  const results: string[] = [];
  for (const wish of sequence.wishes)
    results.push(await playWish(client, `${name}-${sequence.sequence}`, wish));
  process.stdout.write(JSON.stringify({ sequence: sequence.sequence, results }) + "\n");
}

// A ledger that was lost makes its director doubt young keys for a while; the next sequence must not meet that.
function pauseAfter(sequence: Sequence): number {
  return sequence.wishes.some((wish) => wish.title.startsWith("wipe")) ? 4000 : Number(pauseMs);
}

async function worker(queue: Sequence[]): Promise<void> {
  for (let sequence = queue.shift(); sequence !== undefined; sequence = queue.shift()) {
    await playSequence(sequence);
    await new Promise((done) => setTimeout(done, pauseAfter(sequence)));
  }
}

await Promise.all(Array.from({ length: Number(atOnce) }, () => worker(sequences)));
process.exit(0);
