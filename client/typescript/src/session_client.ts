// The client library for websites and Node programs: requests subscriptions from directors, with one WebSocket for
// each attempt, and reports what becomes of them. All retry decisions are made by core.ts. Callbacks are called from
// timers, never from within a call to this class. Times are whole microseconds. Each request gets exactly one result;
// if that result is "playing", exactly one end follows unless the program leaves. No runtime dependency: uses the
// platform's WebSocket, or one that the program passes in.
import { Core, defaultRetryPolicy } from "../../core/core.js";
import type { Action, Answer, DirectorEndpoint, RetryPolicy, Micros, Result } from "../../core/core.js";
import { encodeLeave, encodePlay, readAnswer } from "./messages.js";
import type { AnswerMessage, PlayMessage } from "./messages.js";

// What a viewer wants to watch, and for how long to try.
export interface SubscriptionRequest {
  viewer: string;
  title: string;
  room: string; // room type
  unsafe?: boolean; // the room type must not be set up twice
  tenant?: string;
  top?: number; // highest rung to be delivered
  timeout?: Micros; // 5 s if not given
  length?: Micros; // expected duration
}

// What became of a request.
export interface SubscriptionResult {
  result: Result;
  reason: string; // from the last answer of a director; empty if there was none
  subscription: string;
  node: string;
  ticket: string;
  rung: number;
  retryAfter: Micros; // how long to wait before a new request; 0: not at all
}

// Events of one request; all are optional.
export interface SubscriptionCallbacks {
  onResult?: (request: number, result: SubscriptionResult) => void;
  // A playing subscription ended without leave().
  onEnd?: (request: number, reason: string, retryAfter: Micros) => void;
  // The rung of a playing subscription changed.
  onRung?: (request: number, rung: number) => void;
}

// The part of the WebSocket interface that is used here. The WebSocket classes of browsers, of Node 22 and of the
// package `ws` satisfy it.
export interface SocketLike {
  onopen: ((event: never) => void) | null;
  onmessage: ((event: { data: unknown }) => void) | null;
  onclose: ((event: never) => void) | null;
  onerror: ((event: never) => void) | null;
  send(text: string): void;
  close(): void;
}
// Opens a WebSocket with the given subprotocol.
export type SocketMaker = (url: string, protocol: string) => SocketLike;

// Settings of a client; every one has a default.
export interface SessionClientOptions {
  retryPolicy?: Partial<RetryPolicy>; // overrides single values of defaultRetryPolicy
  seed?: number; // initialises the random choices of the retry policy; random if not given
  makeSocket?: SocketMaker; // the platform's WebSocket if not given
  scheme?: "ws" | "wss"; // "ws" if not given
  now?: () => Micros; // a monotonic clock
}

const subprotocol = "lupinsill.session.v1";
const defaultTimeout: Micros = 5_000_000;
const maxTickIntervalMs = 50;
// Names the request on its socket; any text will do, since a socket carries one request only.
const requestName = "a";
const noResult: SubscriptionResult = {
  result: "unreachable",
  reason: "",
  subscription: "",
  node: "",
  ticket: "",
  rung: 0,
  retryAfter: 0,
};

// A request from subscribe() until its result, or until the end of the subscription that came of it.
interface Subscription {
  id: number;
  request: SubscriptionRequest;
  lastResult: SubscriptionResult;
  playingAttempt: number; // 0: not playing
  callbacks: SubscriptionCallbacks;
}

// The socket of one attempt.
interface AttemptLink {
  attempt: number;
  request: number;
  dropped: boolean; // its events are ignored
  socket: SocketLike;
}

// A random idempotency key.
function freshKey(): string {
  const bytes = new Uint8Array(16);
  globalThis.crypto.getRandomValues(bytes);
  return Array.from(bytes, (byte) => byte.toString(16).padStart(2, "0")).join("");
}

function platformSocket(url: string, protocol: string): SocketLike {
  const maker = (globalThis as { WebSocket?: new (url: string, protocol: string) => SocketLike }).WebSocket;
  if (maker === undefined) throw new Error("this platform has no WebSocket: pass one as the option makeSocket");
  return new maker(url, protocol);
}

// Requests subscriptions from a list of directors.
export class SessionClient {
  private readonly core: Core;
  private readonly directors: DirectorEndpoint[];
  private readonly makeSocket: SocketMaker;
  private readonly scheme: string;
  private readonly now: () => Micros;
  private readonly subscriptions = new Map<number, Subscription>(); // pending or playing
  private readonly links = new Map<number, AttemptLink>();
  private actions: Action[] = []; // of the core, not yet executed
  private pendingCallbacks: (() => void)[] = []; // of the program, not yet called
  private timer: ReturnType<typeof setTimeout> | undefined;
  private lastRequest = 0;

  constructor(directors: DirectorEndpoint[], options: SessionClientOptions = {}) {
    this.directors = directors;
    const seed = options.seed ?? globalThis.crypto.getRandomValues(new Uint32Array(1))[0]!;
    this.core = new Core(directors, { ...defaultRetryPolicy, ...options.retryPolicy }, seed);
    this.makeSocket = options.makeSocket ?? platformSocket;
    this.scheme = options.scheme ?? "ws";
    this.now = options.now ?? (() => Math.trunc(performance.now() * 1000));
  }

  get statistics(): Core["statistics"] {
    return this.core.statistics;
  }

  // Requests a subscription. Returns the id that the callbacks and leave() use.
  subscribe(request: SubscriptionRequest, callbacks: SubscriptionCallbacks): number {
    const id = ++this.lastRequest;
    // Must be unique across all clients: a director answers a key that it knows with the result of the earlier
    // request.
    const key = freshKey();
    this.subscriptions.set(id, { id, request, lastResult: noResult, playingAttempt: 0, callbacks });
    const timeout = request.timeout ?? defaultTimeout;
    this.core.submit(this.now(), { id, key, unsafe: request.unsafe ?? false, timeout }, this.actions);
    this.armTimer();
    return id;
  }

  // Cancels a pending request, which is reported as cancelled, or ends a playing subscription.
  leave(request: number): void {
    const subscription = this.subscriptions.get(request);
    if (subscription === undefined) return;
    if (subscription.playingAttempt !== 0) {
      const link = this.links.get(subscription.playingAttempt);
      this.subscriptions.delete(request);
      if (link !== undefined && !link.dropped) {
        link.socket.send(encodeLeave(requestName));
        this.drop(link); // closing sends what is still buffered first
      }
      return;
    }
    this.core.cancel(this.now(), request, this.actions);
    this.armTimer();
  }

  // Called from the timer only, so that no callback runs within a call by the program.
  private executeActions(): void {
    while (this.actions.length > 0) {
      const actions = this.actions;
      this.actions = [];
      for (const action of actions) {
        if (action.kind === "startAttempt") {
          this.open(action);
        } else if (action.kind === "abandonAttempt") {
          const link = this.links.get(action.attempt);
          // The socket of a playing subscription stays open: only its attempt is over.
          if (link !== undefined && this.subscriptions.get(link.request)?.playingAttempt !== action.attempt)
            this.drop(link);
        } else {
          const subscription = this.subscriptions.get(action.request);
          if (subscription === undefined) continue;
          const result = { ...subscription.lastResult, result: action.result, retryAfter: action.retryAfter };
          if (action.result !== "playing") this.subscriptions.delete(action.request);
          this.pendingCallbacks.push(() => subscription.callbacks.onResult?.(action.request, result));
        }
      }
    }
  }

  private open(action: Extract<Action, { kind: "startAttempt" }>): void {
    const address = this.directors[action.director]?.address ?? "";
    let socket: SocketLike;
    try {
      socket = this.makeSocket(`${this.scheme}://${address}/`, subprotocol);
    } catch {
      return this.core.failed(this.now(), action.attempt, this.actions);
    }
    const link: AttemptLink = { attempt: action.attempt, request: action.request, dropped: false, socket };
    this.links.set(action.attempt, link);
    socket.onmessage = (event) => {
      const answer = typeof event.data === "string" ? readAnswer(event.data) : undefined;
      if (answer !== undefined) this.handleAnswer(link, answer);
    };
    socket.onclose = () => this.handleLost(link);
    socket.onerror = () => this.handleLost(link);
  }

  private handleAnswer(link: AttemptLink, answer: AnswerMessage): void {
    const subscription = this.subscriptions.get(link.request);
    if (subscription === undefined || link.dropped) return;
    const reportAnswer = (coreAnswer: Answer): void => {
      subscription.lastResult = { ...subscription.lastResult, reason: answer.reason };
      const drains = answer.reason === "draining";
      this.core.answered(this.now(), link.attempt, coreAnswer, answer.retryAfter, drains, this.actions);
      this.armTimer();
    };
    switch (answer.kind) {
      case "hello":
        return this.handleHello(link, subscription, answer.director);
      case "playing": {
        const { node, ticket, rung } = answer;
        subscription.lastResult = {
          ...noResult,
          result: "playing",
          subscription: answer.subscription,
          node,
          ticket,
          rung,
        };
        subscription.playingAttempt = link.attempt;
        return reportAnswer("playing");
      }
      case "throttled":
        this.drop(link);
        return reportAnswer("throttled");
      case "terminated":
      case "error":
        this.drop(link);
        return reportAnswer(answer.kind === "error" ? "wrong" : "terminated");
      case "rung":
        subscription.lastResult = { ...subscription.lastResult, rung: answer.rung };
        this.pendingCallbacks.push(() => subscription.callbacks.onRung?.(link.request, answer.rung));
        return this.armTimer();
      case "ended":
        this.drop(link);
        this.subscriptions.delete(link.request);
        this.pendingCallbacks.push(() =>
          subscription.callbacks.onEnd?.(link.request, answer.reason, answer.retryAfter),
        );
        return this.armTimer();
    }
  }

  private handleHello(link: AttemptLink, subscription: Subscription, director: string): void {
    const parameters = this.core.beginSend(this.now(), link.attempt, director);
    if (parameters === undefined) return;
    const { viewer, title, room, tenant, top, length } = subscription.request;
    const { key, previousDirector, sinceFirstSent, timeLeft } = parameters;
    const message: PlayMessage = {
      key,
      viewer,
      title,
      room,
      tenant,
      top,
      length,
      timeout: timeLeft,
      previousDirector,
      sinceFirstSent,
    };
    link.socket.send(encodePlay(requestName, message));
  }

  private handleLost(link: AttemptLink): void {
    if (link.dropped) return;
    this.drop(link);
    const subscription = this.subscriptions.get(link.request);
    if (subscription !== undefined && subscription.playingAttempt === link.attempt) {
      this.subscriptions.delete(link.request);
      this.pendingCallbacks.push(() => subscription.callbacks.onEnd?.(link.request, "director-lost", 0));
    } else {
      this.core.failed(this.now(), link.attempt, this.actions);
    }
    this.armTimer();
  }

  // Closes the socket and ignores its further events.
  private drop(link: AttemptLink): void {
    link.dropped = true;
    this.links.delete(link.attempt);
    link.socket.onmessage = null;
    // Without a handler, an error on the dropped socket would be thrown in the program.
    link.socket.onerror = () => undefined;
    link.socket.onclose = null;
    link.socket.close();
  }

  private armTimer(): void {
    clearTimeout(this.timer);
    const busy = this.actions.length > 0 || this.pendingCallbacks.length > 0;
    const wait = Math.min(maxTickIntervalMs, Math.max(0, Math.ceil((this.core.due() - this.now()) / 1000)));
    this.timer = setTimeout(() => this.tick(), busy ? 0 : wait);
  }

  private tick(): void {
    this.core.tick(this.now(), this.actions);
    this.executeActions();
    const pendingCallbacks = this.pendingCallbacks;
    this.pendingCallbacks = [];
    for (const callback of pendingCallbacks) callback();
    // Playing subscriptions need no timer: their sockets keep the program running and report their events.
    const waiting = [...this.subscriptions.values()].some((subscription) => subscription.playingAttempt === 0);
    if (waiting || this.actions.length > 0 || this.pendingCallbacks.length > 0) this.armTimer();
  }
}
