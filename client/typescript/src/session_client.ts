// Subscriptions for websites and Node programs, over the core and a WebSocket a try. It carries out what the core
// decides, and never decides on a retry itself. Callbacks come from timers and socket events, never from within a
// call of this class. Times are whole microseconds. A wish gets exactly one result; one that plays then gets
// exactly one end. No runtime dependency: the WebSocket of the platform, or one handed in.
import { Core, defaultRetryPolicy } from "../../core/core.js";
import type { Action, Answer as CoreAnswer, DirectorEndpoint, RetryPolicy, Micros, Result } from "../../core/core.js";
import { askText, leaveText, readAnswer } from "./messages.js";
import type { Answer, Ask } from "./messages.js";

export interface Want {
  viewer: string;
  title: string;
  room: string;
  unsafe?: boolean; // a room type that must not be set up twice
  tenant?: string;
  top?: number;
  timeout?: Micros;
  length?: Micros;
}

export interface Heard {
  result: Result;
  reason: string; // of the director's last answer, where there was one
  subscription: string;
  node: string;
  ticket: string;
  rung: number;
  comeBackAfter: Micros;
}

export interface Ears {
  onResult?: (wish: number, heard: Heard) => void;
  onEnd?: (wish: number, reason: string, comeBackAfter: Micros) => void;
  onRung?: (wish: number, rung: number) => void;
}

// What is used of a WebSocket; that of browsers, of Node 22 and of the package `ws` fit.
export interface SocketLike {
  onopen: ((event: never) => void) | null;
  onmessage: ((event: { data: unknown }) => void) | null;
  onclose: ((event: never) => void) | null;
  onerror: ((event: never) => void) | null;
  send(text: string): void;
  close(): void;
}
export type SocketMaker = (url: string, protocol: string) => SocketLike;

export interface Around {
  manners?: Partial<RetryPolicy>;
  seed?: number;
  makeSocket?: SocketMaker;
  scheme?: "ws" | "wss";
  now?: () => Micros; // a clock that never runs back
}

const subprotocol = "lupinsill.session.v1";
const tickMost = 50; // ms
const nothing: Heard = {
  result: "unreachable",
  reason: "",
  subscription: "",
  node: "",
  ticket: "",
  rung: 0,
  comeBackAfter: 0,
};

interface Wished {
  id: number;
  want: Want;
  last: Heard;
  plays: number; // the try that plays
  ears: Ears;
}

interface Line {
  attempt: number;
  wish: number;
  dropped: boolean;
  socket: SocketLike;
}

function freshKey(): string {
  const bytes = new Uint8Array(16);
  globalThis.crypto.getRandomValues(bytes);
  return Array.from(bytes, (byte) => byte.toString(16).padStart(2, "0")).join("");
}

function platformSocket(url: string, protocol: string): SocketLike {
  const maker = (globalThis as { WebSocket?: new (url: string, protocol: string) => SocketLike }).WebSocket;
  if (maker === undefined) throw new Error("no WebSocket on this platform: hand one in as makeSocket");
  return new maker(url, protocol);
}

export class SessionClient {
  private readonly core: Core;
  private readonly directors: DirectorEndpoint[];
  private readonly makeSocket: SocketMaker;
  private readonly scheme: string;
  private readonly now: () => Micros;
  private readonly wishes = new Map<number, Wished>();
  private readonly lines = new Map<number, Line>();
  private acts: Action[] = [];
  private calls: (() => void)[] = [];
  private timer: ReturnType<typeof setTimeout> | undefined;
  private last = 0;

  constructor(directors: DirectorEndpoint[], around: Around = {}) {
    this.directors = directors;
    const seed = around.seed ?? globalThis.crypto.getRandomValues(new Uint32Array(1))[0]!;
    this.core = new Core(directors, { ...defaultRetryPolicy, ...around.manners }, seed);
    this.makeSocket = around.makeSocket ?? platformSocket;
    this.scheme = around.scheme ?? "ws";
    this.now = around.now ?? (() => Math.trunc(performance.now() * 1000));
  }

  get statistics(): Core["statistics"] {
    return this.core.statistics;
  }

  ask(want: Want, ears: Ears): number {
    const id = ++this.last;
    // Nobody else may ever have used the key: one that meets another's is answered from theirs.
    const key = freshKey();
    this.wishes.set(id, { id, want, last: nothing, plays: 0, ears });
    const timeout = want.timeout ?? 5_000_000;
    this.core.submit(this.now(), { id, key, unsafe: want.unsafe ?? false, timeout }, this.acts);
    this.arm();
    return id;
  }

  // Gives up a wish, or ends what plays.
  leave(wish: number): void {
    const wished = this.wishes.get(wish);
    if (wished === undefined) return;
    if (wished.plays !== 0) {
      const line = this.lines.get(wished.plays);
      this.wishes.delete(wish);
      if (line !== undefined && !line.dropped) {
        line.socket.send(leaveText("a"));
        this.drop(line); // its close follows what was sent
      }
      return;
    }
    this.core.cancel(this.now(), wish, this.acts);
    this.arm();
  }

  private carry(): void {
    while (this.acts.length > 0) {
      const acts = this.acts;
      this.acts = [];
      for (const act of acts) {
        if (act.act === "try") {
          this.open(act);
        } else if (act.act === "abandon") {
          const line = this.lines.get(act.attempt);
          // The line of a wish that plays lives on: its try is over, not its subscription.
          if (line !== undefined && this.wishes.get(line.wish)?.plays !== act.attempt) this.drop(line);
        } else {
          const wished = this.wishes.get(act.request);
          if (wished === undefined) continue;
          const heard = { ...wished.last, result: act.result, comeBackAfter: act.retryAfter };
          if (act.result !== "playing") this.wishes.delete(act.request);
          this.calls.push(() => wished.ears.onResult?.(act.request, heard));
        }
      }
    }
  }

  private open(act: Extract<Action, { act: "try" }>): void {
    const address = this.directors[act.director]?.address ?? "";
    let socket: SocketLike;
    try {
      socket = this.makeSocket(`${this.scheme}://${address}/`, subprotocol);
    } catch {
      return this.core.failed(this.now(), act.attempt, this.acts);
    }
    const line: Line = { attempt: act.attempt, wish: act.request, dropped: false, socket };
    this.lines.set(act.attempt, line);
    socket.onmessage = (event) => {
      const answer = typeof event.data === "string" ? readAnswer(event.data) : undefined;
      if (answer !== undefined) this.heard(line, answer);
    };
    socket.onclose = () => this.lost(line);
    socket.onerror = () => this.lost(line);
  }

  private heard(line: Line, answer: Answer): void {
    const wished = this.wishes.get(line.wish);
    if (wished === undefined || line.dropped) return;
    const told = (what: CoreAnswer): void => {
      wished.last = { ...wished.last, reason: answer.reason };
      const drains = answer.reason === "draining";
      this.core.answered(this.now(), line.attempt, what, answer.retryAfter, drains, this.acts);
      this.arm();
    };
    switch (answer.said) {
      case "hello":
        return this.hello(line, wished, answer.director);
      case "playing": {
        const { subscription, node, ticket, rung } = answer;
        wished.last = { ...nothing, result: "playing", subscription, node, ticket, rung };
        wished.plays = line.attempt;
        return told("playing");
      }
      case "throttled":
        this.drop(line);
        return told("throttled");
      case "terminated":
      case "error":
        this.drop(line);
        return told(answer.said === "error" ? "wrong" : "terminated");
      case "rung":
        wished.last = { ...wished.last, rung: answer.rung };
        this.calls.push(() => wished.ears.onRung?.(line.wish, answer.rung));
        return this.arm();
      case "ended":
        this.drop(line);
        this.wishes.delete(line.wish);
        this.calls.push(() => wished.ears.onEnd?.(line.wish, answer.reason, answer.retryAfter));
        return this.arm();
    }
  }

  private hello(line: Line, wished: Wished, director: string): void {
    const sending = this.core.beginSend(this.now(), line.attempt, director);
    if (sending === undefined) return;
    const { viewer, title, room, tenant, top, length } = wished.want;
    const { key, again, againAge, timeLeft } = sending;
    const ask: Ask = { key, viewer, title, room, tenant, top, length, timeout: timeLeft, again, againAge };
    line.socket.send(askText("a", ask));
  }

  private lost(line: Line): void {
    if (line.dropped) return;
    this.drop(line);
    const wished = this.wishes.get(line.wish);
    if (wished !== undefined && wished.plays === line.attempt) {
      this.wishes.delete(line.wish);
      this.calls.push(() => wished.ears.onEnd?.(line.wish, "director-lost", 0));
    } else {
      this.core.failed(this.now(), line.attempt, this.acts);
    }
    this.arm();
  }

  private drop(line: Line): void {
    line.dropped = true;
    this.lines.delete(line.attempt);
    line.socket.onmessage = null;
    // An error of a socket that nobody listens to must not become the program's.
    line.socket.onerror = () => undefined;
    line.socket.onclose = null;
    line.socket.close();
  }

  private arm(): void {
    clearTimeout(this.timer);
    const busy = this.acts.length > 0 || this.calls.length > 0;
    const wait = Math.min(tickMost, Math.max(0, Math.ceil((this.core.due() - this.now()) / 1000)));
    this.timer = setTimeout(() => this.tick(), busy ? 0 : wait);
  }

  private tick(): void {
    this.core.tick(this.now(), this.acts);
    this.carry();
    const calls = this.calls;
    this.calls = [];
    for (const call of calls) call();
    // A program that only listens to what plays is not kept awake: the sockets do that.
    const waiting = [...this.wishes.values()].some((wished) => wished.plays === 0);
    if (waiting || this.acts.length > 0 || this.calls.length > 0) this.arm();
  }
}
