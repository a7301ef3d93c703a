// The library against directors written here on the package `ws`: what it sends, and what it makes of answers.
import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { WebSocket, WebSocketServer } from "ws";
import { SessionClient } from "../src/index.js";
import type { Heard, SocketLike, Want } from "../src/index.js";

type Asked = { id: string; key: string; again?: string; timeoutMs: number; title: string };

class Director {
  readonly server: WebSocketServer;
  readonly asks: Asked[] = [];
  readonly leaves: string[] = [];
  constructor(name: string, answer: (ask: Asked, socket: WebSocket, nth: number) => void) {
    this.server = new WebSocketServer({ port: 0, host: "127.0.0.1" });
    this.server.on("connection", (socket) => {
      socket.send(JSON.stringify({ type: "hello", director: name }));
      socket.on("message", (data) => {
        const message = JSON.parse(String(data)) as Asked & { type: string };
        if (message.type === "leave") return void this.leaves.push(message.id);
        this.asks.push(message);
        answer(message, socket, this.asks.length);
      });
    });
  }
  address = "";
  async ready(): Promise<this> {
    if (this.server.address() === null) await new Promise((done) => this.server.once("listening", done));
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    return this;
  }
  close(): void {
    for (const socket of this.server.clients) socket.terminate();
    this.server.close();
  }
}

const say = (socket: WebSocket, message: object): void => socket.send(JSON.stringify(message));
const plays = (ask: Asked, socket: WebSocket): void =>
  say(socket, { type: "playing", id: ask.id, subscription: "s", node: "n:1", rung: 2, ticket: "t" });

function clientOf(directors: Director[]): SessionClient {
  return new SessionClient(
    directors.map((d) => ({ address: d.address, building: "here" })),
    {
      seed: 3,
      manners: { building: "here" },
      makeSocket: (url, protocol) => new WebSocket(url, protocol) as unknown as SocketLike,
    },
  );
}

function result(client: SessionClient, want: Partial<Want>): Promise<{ id: number; heard: Heard }> {
  return new Promise((resolve) => {
    const id = client.ask(
      { viewer: "v", title: "t", room: "r", timeout: 5_000_000, ...want },
      { onResult: (_, heard) => resolve({ id, heard }) },
    );
  });
}

test("a paid ask whose reply is lost goes to the same director, with the same key, and says so", async () => {
  const answer = (ask: Asked, socket: WebSocket, nth: number): void => {
    if (nth === 1) socket.terminate();
    else plays(ask, socket);
  };
  const directors = [await new Director("a", answer).ready(), await new Director("b", answer).ready()];
  const client = clientOf(directors);
  const { heard } = await result(client, { unsafe: true });
  assert.equal(heard.result, "playing");
  const asked = directors.filter((d) => d.asks.length > 0);
  assert.equal(asked.length, 1);
  const [first, second] = asked[0]!.asks;
  assert.equal(first!.key, second!.key);
  assert.equal(first!.again, undefined);
  assert.equal(second!.again, first!.key.split(":")[0]);
  assert.ok(second!.timeoutMs < first!.timeoutMs);
  for (const d of directors) d.close();
});

test("a throttled ask goes elsewhere under a key of its own, after the time it was told", async () => {
  let at = 0;
  const directors = await Promise.all(["a", "b"].map(
    (name) =>
      new Director(name, (ask, socket) => {
        if (at === 0) {
          at = Date.now();
          say(socket, { type: "throttled", id: ask.id, reason: "draining", retryAfterMs: 200 });
        } else plays(ask, socket);
      }).ready(),
  ));
  const { heard } = await result(clientOf(directors), { unsafe: true });
  assert.equal(heard.result, "playing");
  assert.ok(Date.now() - at >= 200);
  const keys = directors.flatMap((d) => d.asks.map((ask) => ask.key));
  assert.equal(new Set(keys).size, 2);
  for (const d of directors) assert.equal(d.asks[0]?.again, undefined);
  for (const d of directors) d.close();
});

test("terminated ends a paid wish; what plays ends once; leaving says so", async () => {
  const no = await new Director("a", (ask, socket) =>
    say(socket, { type: "terminated", id: ask.id, reason: "may-have-run" }),
  ).ready();
  const { heard } = await result(clientOf([no]), { unsafe: true });
  assert.equal(heard.result, "terminated");
  assert.equal(heard.reason, "may-have-run");
  assert.equal(no.asks.length, 1);
  no.close();

  const yes = await new Director("a", plays).ready();
  const client = clientOf([yes]);
  const { id } = await result(client, {});
  client.leave(id);
  await new Promise((done) => setTimeout(done, 200));
  assert.deepEqual(yes.leaves, ["a"]);
  yes.close();

  const gone = await new Director("a", plays).ready();
  const ends: string[] = [];
  await new Promise<void>((done) => {
    const other = clientOf([gone]);
    other.ask(
      { viewer: "v", title: "t", room: "r" },
      {
        onResult: () => gone.close(),
        onEnd: (_, reason) => {
          ends.push(reason);
          done();
        },
      },
    );
  });
  assert.deepEqual(ends, ["director-lost"]);
});

test("garbage from a director is no answer, and nobody there is told well before the timeout", async () => {
  const odd = await new Director("a", (ask, socket) => {
    socket.send("{");
    socket.send(JSON.stringify({ type: "dance" }));
    plays(ask, socket);
  }).ready();
  assert.equal((await result(clientOf([odd]), {})).heard.result, "playing");
  odd.close();
  const start = Date.now();
  assert.equal((await result(clientOf([odd]), { timeout: 20_000_000 })).heard.result, "unreachable");
  assert.ok(Date.now() - start < 15_000);
});

test("an ask that names what is not there is not asked again", async () => {
  const director = await new Director("a", (ask, socket) =>
    say(socket, { type: "error", id: ask.id, reason: "room: unknown room type" }),
  ).ready();
  const { heard } = await result(clientOf([director]), {});
  assert.equal(heard.result, "terminated");
  assert.equal(heard.reason, "room: unknown room type");
  assert.equal(director.asks.length, 1);
  director.close();
});
