// SessionClient against simulated directors over the package `ws`: which messages it sends, and how it reports
// answers.
import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { WebSocket, WebSocketServer } from "ws";
import { SessionClient } from "../src/index.js";
import type { SocketLike, SubscriptionRequest, SubscriptionResult } from "../src/index.js";

// The fields of a received request that the tests check.
type ReceivedRequest = { id: string; key: string; again?: string; timeoutMs: number; title: string };

// A simulated director; `answer` is called for each request, `nth` counting from 1.
class Director {
  readonly server: WebSocketServer;
  readonly requests: ReceivedRequest[] = [];
  readonly leaves: string[] = [];
  constructor(name: string, answer: (request: ReceivedRequest, socket: WebSocket, nth: number) => void) {
    this.server = new WebSocketServer({ port: 0, host: "127.0.0.1" });
    this.server.on("connection", (socket) => {
      socket.send(JSON.stringify({ type: "hello", director: name }));
      socket.on("message", (data) => {
        const message = JSON.parse(String(data)) as ReceivedRequest & { type: string };
        if (message.type === "leave") return void this.leaves.push(message.id);
        this.requests.push(message);
        answer(message, socket, this.requests.length);
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

const send = (socket: WebSocket, message: object): void => socket.send(JSON.stringify(message));
const playing = (request: ReceivedRequest, socket: WebSocket): void =>
  send(socket, { type: "playing", id: request.id, subscription: "s", node: "n:1", rung: 2, ticket: "t" });

function clientOf(directors: Director[]): SessionClient {
  return new SessionClient(
    directors.map((d) => ({ address: d.address, zone: "here" })),
    {
      seed: 3,
      retryPolicy: { zone: "here" },
      makeSocket: (url, protocol) => new WebSocket(url, protocol) as unknown as SocketLike,
    },
  );
}

// Requests a subscription and waits for its result.
function result(
  client: SessionClient,
  request: Partial<SubscriptionRequest>,
): Promise<{ id: number; outcome: SubscriptionResult }> {
  return new Promise((resolve) => {
    const id = client.subscribe(
      { viewer: "v", title: "t", room: "r", timeout: 5_000_000, ...request },
      { onResult: (_, outcome) => resolve({ id, outcome }) },
    );
  });
}

test("an unsafe request whose answer is lost is retried at the same director with the same key", async () => {
  const answer = (request: ReceivedRequest, socket: WebSocket, nth: number): void => {
    if (nth === 1) socket.terminate();
    else playing(request, socket);
  };
  const directors = [await new Director("a", answer).ready(), await new Director("b", answer).ready()];
  const client = clientOf(directors);
  const { outcome } = await result(client, { unsafe: true });
  assert.equal(outcome.result, "playing");
  const used = directors.filter((d) => d.requests.length > 0);
  assert.equal(used.length, 1);
  const [first, second] = used[0]!.requests;
  assert.equal(first!.key, second!.key);
  assert.equal(first!.again, undefined);
  assert.equal(second!.again, first!.key.split(":")[0]);
  assert.ok(second!.timeoutMs < first!.timeoutMs);
  for (const d of directors) d.close();
});

test("a throttled request is retried at another director with a new key, after the requested delay", async () => {
  let throttledAt = 0;
  const directors = await Promise.all(["a", "b"].map(
    (name) =>
      new Director(name, (request, socket) => {
        if (throttledAt === 0) {
          throttledAt = Date.now();
          send(socket, { type: "throttled", id: request.id, reason: "draining", retryAfterMs: 200 });
        } else playing(request, socket);
      }).ready(),
  ));
  const { outcome } = await result(clientOf(directors), { unsafe: true });
  assert.equal(outcome.result, "playing");
  assert.ok(Date.now() - throttledAt >= 200);
  const keys = directors.flatMap((d) => d.requests.map((request) => request.key));
  assert.equal(new Set(keys).size, 2);
  for (const d of directors) assert.equal(d.requests[0]?.again, undefined);
  for (const d of directors) d.close();
});

test("terminated ends an unsafe request; leave() is sent; a lost director ends a subscription once", async () => {
  const refusing = await new Director("a", (request, socket) =>
    send(socket, { type: "terminated", id: request.id, reason: "may-have-run" }),
  ).ready();
  const { outcome } = await result(clientOf([refusing]), { unsafe: true });
  assert.equal(outcome.result, "terminated");
  assert.equal(outcome.reason, "may-have-run");
  assert.equal(refusing.requests.length, 1);
  refusing.close();

  const accepting = await new Director("a", playing).ready();
  const client = clientOf([accepting]);
  const { id } = await result(client, {});
  client.leave(id);
  await new Promise((done) => setTimeout(done, 200));
  assert.deepEqual(accepting.leaves, ["a"]);
  accepting.close();

  const vanishing = await new Director("a", playing).ready();
  const ends: string[] = [];
  await new Promise<void>((done) => {
    const other = clientOf([vanishing]);
    other.subscribe(
      { viewer: "v", title: "t", room: "r" },
      {
        onResult: () => vanishing.close(),
        onEnd: (_, reason) => {
          ends.push(reason);
          done();
        },
      },
    );
  });
  assert.deepEqual(ends, ["director-lost"]);
});

test("malformed messages are ignored; an unreachable director is reported well before the timeout", async () => {
  const director = await new Director("a", (request, socket) => {
    socket.send("{");
    socket.send(JSON.stringify({ type: "dance" }));
    playing(request, socket);
  }).ready();
  assert.equal((await result(clientOf([director]), {})).outcome.result, "playing");
  director.close();
  const start = Date.now();
  assert.equal((await result(clientOf([director]), { timeout: 20_000_000 })).outcome.result, "unreachable");
  assert.ok(Date.now() - start < 15_000);
});

test("a request that names an unknown room type is not retried", async () => {
  const director = await new Director("a", (request, socket) =>
    send(socket, { type: "error", id: request.id, reason: "room: unknown room type" }),
  ).ready();
  const { outcome } = await result(clientOf([director]), {});
  assert.equal(outcome.result, "terminated");
  assert.equal(outcome.reason, "room: unknown room type");
  assert.equal(director.requests.length, 1);
  director.close();
});
