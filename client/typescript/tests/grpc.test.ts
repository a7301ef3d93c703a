// An unmodified gRPC client (@grpc/grpc-js) against a real director process with a simulated media node.
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import * as grpc from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";

const program = process.env["LUPINSILL_PROGRAM"];
const root = process.env["LUPINSILL_ROOT"] ?? "";
const skip = { skip: program === undefined };

// The loaded proto definitions have no static types.
// eslint-disable-next-line
type Untyped = any;

// A director process, its configuration folder and a media node that accepts every join.
class RunningDirector {
  readonly folder = mkdtempSync(join(tmpdir(), "lupinsill-ts-"));
  readonly node = createServer((socket) => {
    let text = "";
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      text += String(data);
      for (let end = text.indexOf("\r\n\r\n"); end >= 0; end = text.indexOf("\r\n\r\n")) {
        const head = text.slice(0, end);
        text = text.slice(end + 4);
        const cseq = /CSeq: *(\d+)/i.exec(head)?.[1] ?? "0";
        if (!head.startsWith("RTSP/"))
          socket.write(
            `RTSP/2.0 200 OK\r\nCSeq: ${cseq}\r\nSession: s\r\n` +
              "Endpoint-Load-Metrics: TEXT application_utilization=0.05\r\n\r\n",
          );
      }
    });
  });
  process!: ChildProcess;
  grpcPort = 0;
  adminPort = 0;

  async start(withNode: boolean): Promise<this> {
    await new Promise<void>((done) => this.node.listen(0, "127.0.0.1", done));
    const port = (this.node.address() as AddressInfo).port;
    const entry = `<node id="1" address="127.0.0.1:${port}" kind="two-core" zone="north" cell="0"/>`;
    writeFileSync(
      join(this.folder, "small-nodes.xml"),
      `<nodes xmlns="urn:lupinsill:nodes:1" version="1">${withNode ? entry : ""}</nodes>`,
    );
    const settings = readFileSync(join(root, "examples/small.xml"), "utf8").replace(/127\.0\.0\.1:\d+/g, "127.0.0.1:0");
    writeFileSync(join(this.folder, "small.xml"), settings);
    const ports = join(this.folder, "ports");
    this.process = spawn(program!, ["director", "--config", join(this.folder, "small.xml"), "--ports", ports], {
      stdio: "ignore",
    });
    for (let i = 0; i < 400 && !existsSync(ports); ++i) await new Promise((done) => setTimeout(done, 25));
    const fields = readFileSync(ports, "utf8").split(/\s+/);
    this.adminPort = Number(fields[fields.indexOf("admin") + 1]);
    this.grpcPort = Number(fields[fields.indexOf("grpc") + 1]);
    return this;
  }
  // Requests a page from the admin port.
  async page(path: string, method = "GET"): Promise<string> {
    return (await fetch(`http://127.0.0.1:${this.adminPort}${path}`, { method })).text();
  }
  sessions(options: object = {}): Untyped {
    const loaded = loadSync(join(root, "proto/lupinsill/session/v1/session.proto"), { keepCase: true });
    const service = (grpc.loadPackageDefinition(loaded) as Untyped).lupinsill.session.v1.Sessions;
    return new service(`127.0.0.1:${this.grpcPort}`, grpc.credentials.createInsecure(), options);
  }
  health(): Untyped {
    const loaded = loadSync(join(root, "proto/grpc/health/v1/health.proto"), { enums: String });
    const service = (grpc.loadPackageDefinition(loaded) as Untyped).grpc.health.v1.Health;
    return new service(`127.0.0.1:${this.grpcPort}`, grpc.credentials.createInsecure());
  }
  end(): void {
    this.process.kill("SIGKILL");
    this.node.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

// What a call received until its end.
interface CallOutcome {
  messages: Untyped[];
  status: grpc.StatusObject;
}
const ask = { key: "front-1:k", viewer: "v", title: "t", room: "recipe-clip" };

// Writes the requests on a new Play call and waits until it ends.
function play(
  client: Untyped,
  requests: object[],
  options: object = {},
  onMessage?: (call: Untyped) => void,
): Promise<CallOutcome> {
  return new Promise((resolve) => {
    const call = client.Play(options);
    const messages: Untyped[] = [];
    call.on("data", (message: Untyped) => {
      messages.push(message);
      onMessage?.(call);
    });
    call.on("error", () => undefined);
    call.on("status", (status: grpc.StatusObject) => resolve({ messages, status }));
    for (const request of requests) call.write(request);
  });
}

test("Who, a subscription that plays and is left, and invalid requests", skip, async () => {
  const director = await new RunningDirector().start(true);
  const client = director.sessions();
  const who = await new Promise<Untyped>((done) => client.Who({}, (_: unknown, reply: Untyped) => done(reply)));
  assert.equal(who.director, "front-1");

  const outcome = await play(client, [{ ask }], {}, (call) => call.write({ leave: {} }));
  assert.equal(outcome.status.code, grpc.status.OK);
  assert.equal(outcome.messages.length, 1);
  assert.ok(outcome.messages[0].playing.ticket.length > 20);

  const bad = await play(client, [{ ask: { ...ask, room: "attic" } }]);
  assert.equal(bad.status.code, grpc.status.INVALID_ARGUMENT);
  assert.equal(bad.status.details, "room: unknown room type");
  const empty = await play(client, [{ ask: { ...ask, viewer: "" } }]);
  assert.equal(empty.status.details, "viewer: 1 to 128 bytes expected");
  const foreign = await play(client, [{ ask: { ...ask, key: "front-2:k", room: "paid-class" } }]);
  assert.equal(foreign.status.code, grpc.status.FAILED_PRECONDITION);
  assert.equal(foreign.status.metadata.get("lupinsill-reason")[0], "elsewhere");
  const none = await new Promise<Untyped>((done) =>
    client.makeUnaryRequest("/no/Such", (x: Untyped) => x, (x: Untyped) => x, Buffer.alloc(0), (e: Untyped) => done(e)),
  );
  assert.equal(none.code, grpc.status.UNIMPLEMENTED);
  const large = await play(client, [{ ask: { ...ask, title: "x".repeat(9000) } }]);
  assert.equal(large.status.code, grpc.status.RESOURCE_EXHAUSTED);

  client.close();
  director.end();
});

test("a second request ends its call", skip, async () => {
  const director = await new RunningDirector().start(true);
  const client = director.sessions();
  const twice = await play(client, [{ ask }, { ask }]);
  assert.equal(twice.status.code, grpc.status.INVALID_ARGUMENT);
  client.close();
  director.end();
});

test("a call ends at its deadline, even while it plays", skip, async () => {
  const director = await new RunningDirector().start(true);
  const client = director.sessions();
  const late = await play(client, [{ ask }], { deadline: Date.now() + 600 });
  assert.equal(late.status.code, grpc.status.DEADLINE_EXCEEDED);
  for (let i = 0; i < 40 && !(await director.page("/status")).includes('"subscriptions": 0'); ++i)
    await new Promise((done) => setTimeout(done, 50));
  assert.match(await director.page("/status"), /"subscriptions": 0/);
  client.close();
  director.end();
});

test("the gRPC client's own retries follow throttles only, and wait for the requested time", skip, async () => {
  const director = await new RunningDirector().start(false); // without a node every request is throttled
  const policy = {
    methodConfig: [
      {
        name: [{ service: "lupinsill.session.v1.Sessions" }],
        retryPolicy: {
          maxAttempts: 3,
          initialBackoff: "0.01s",
          maxBackoff: "0.02s",
          backoffMultiplier: 1,
          retryableStatusCodes: ["RESOURCE_EXHAUSTED", "UNAVAILABLE", "ABORTED", "FAILED_PRECONDITION"],
        },
      },
    ],
  };
  const client = director.sessions({ "grpc.service_config": JSON.stringify(policy) });
  const paid = { ...ask, room: "paid-class" };
  const start = Date.now();
  const outcome = await play(client, [{ ask: paid }]);
  assert.equal(outcome.status.code, grpc.status.RESOURCE_EXHAUSTED);
  assert.equal(outcome.status.metadata.get("lupinsill-answer")[0], "throttled");
  const pushback = Number(outcome.status.metadata.get("lupinsill-retry-after-ms")[0]);
  assert.ok(pushback > 0);
  assert.ok(Date.now() - start >= pushback); // it waited for the requested time at least once
  assert.match(await director.page("/metrics"), /lupinsill_asks_total 3\n/);
  // The policy would retry this status, but the director's pushback trailer forbids it.
  const foreign = await play(client, [{ ask: { ...paid, key: "front-2:k" } }]);
  assert.equal(foreign.status.code, grpc.status.FAILED_PRECONDITION);
  assert.match(await director.page("/metrics"), /lupinsill_asks_total 4\n/);
  client.close();
  director.end();
});

test("a drain shows in the health service and ends no call; the process exits once nothing plays", skip, async () => {
  const director = await new RunningDirector().start(true);
  const health = director.health();
  const states: string[] = [];
  const watch = health.Watch({ service: "" });
  watch.on("data", (message: Untyped) => states.push(message.status));
  watch.on("error", () => undefined);
  const checked = (service: string): Promise<Untyped> =>
    new Promise((done) => health.Check({ service }, (error: Untyped, reply: Untyped) => done(error ?? reply)));
  assert.equal((await checked("lupinsill.session.v1.Sessions")).status, "SERVING");
  assert.equal((await checked("other")).code, grpc.status.NOT_FOUND);

  const client = director.sessions();
  let call: Untyped;
  const ended = play(client, [{ ask }], {}, (c) => (call = c));
  while (call === undefined) await new Promise((done) => setTimeout(done, 20));
  const exited = new Promise((done) => director.process.on("exit", done));
  await director.page("/drain", "POST");
  await new Promise((done) => setTimeout(done, 1500));
  assert.deepEqual(states, ["SERVING", "NOT_SERVING"]);
  assert.match(await director.page("/status"), /"subscriptions": 1/);
  // A new call still gets an answer: the draining director refuses it.
  const late = await play(director.sessions(), [{ ask }]);
  assert.equal(late.status.code, grpc.status.UNAVAILABLE);
  assert.equal(late.status.metadata.get("lupinsill-reason")[0], "draining");
  call.write({ leave: {} });
  assert.equal((await ended).status.code, grpc.status.OK);
  assert.equal(await exited, 0);
  health.close();
  client.close();
  director.end();
});
