// The retry policy of the TypeScript client library: which director to use for a request, when to retry, how long
// to back off and when to give up. A port of client/core/core.cpp with the same names and the same statements, so
// that both libraries make the same decisions (tests/core.test.ts compares them on recorded traces). The class
// does no I/O, reads no clock and sets no timer: the caller passes in events with the current time and executes
// the returned actions. Times are whole microseconds on the caller's monotonic clock. Nothing throws.
//
// Guarantees, for any events in any order:
//  1. Each request gets exactly one result, at its timeout at the latest. A request that is given up earlier is
//     reported immediately.
//  2. At most one attempt of a request is in flight.
//  3. All attempts of a request carry the same key. Once a director may have accepted an attempt of an unsafe
//     request, the request is pinned: retries go to that director only, until it answers or proves that it never
//     read the attempt. Directors share no state, so only that director can recognise the key.
//  4. No attempt starts before the delay requested by the last answer has passed.
//  5. Retries stay within the retry budget: in any window, a fixed number plus a share of the first attempts.
//  6. Directors in the client's own zone are preferred. A director that fails is ejected for a while, longer after
//     each consecutive failure. While all directors are ejected, first attempts are still made, but no retries.

export type Micros = number;

// Where a director listens.
export interface DirectorEndpoint {
  address: string; // host:port
  zone: string;
}

// Retry settings of a client.
export interface RetryPolicy {
  zone: string; // of the client; directors in it are preferred
  minBackoff: Micros; // limit of the first random backoff; doubles with each backoff
  maxBackoff: Micros;
  minRetries: number; // retry budget: retries that are always allowed within the window
  budgetShare: number; // retry budget: further retries, as a share of first attempts
  budgetWindow: Micros; // sliding window over which the retry budget is counted
  minEjection: Micros; // ejection after a first failure; doubles with each consecutive one
  maxEjection: Micros;
  attemptTimeout: Micros; // limit for an attempt that is unsent, or safe and unanswered
  maxAttempts: number; // per request, including the first attempt
}

// Suits an interactive application, whose user waits for the result.

export const defaultRetryPolicy: RetryPolicy = {
  zone: "",
  minBackoff: 100_000,
  maxBackoff: 16_000_000,
  minRetries: 3,
  budgetShare: 0.2,
  budgetWindow: 10_000_000,
  minEjection: 500_000,
  maxEjection: 30_000_000,
  attemptTimeout: 3_000_000,
  maxAttempts: 6,
};

// A request for one subscription, as far as retries are concerned.
export interface Request {
  id: number;
  key: string; // idempotency key, unique to the request
  unsafe: boolean; // must not be executed twice
  timeout: Micros; // shared by all attempts
}

// What a director answered to an attempt. wrong: the request names something that does not exist: nothing was
// executed, and a retry cannot succeed.
export type Answer = "playing" | "throttled" | "terminated" | "wrong";
// The outcome of a request.
// - throttled: a new request is harmless: nothing was executed, or the request is safe; see retryAfter
// - terminated: refused by the director, or the request names something that does not exist
// - unknown: unsafe and possibly executed: let the viewer confirm before charging again
// - unreachable: no director received the request; nothing was executed
export type Result = "playing" | "throttled" | "terminated" | "unknown" | "unreachable" | "cancelled";

// What the caller has to execute.
// - startAttempt: send the request to the director with this index in the list
// - abandonAttempt: release everything that belongs to the attempt; its answer is no longer needed
// - reportResult: report the one result of the request; retryAfter is how long to wait before a new one
export type Action =
  | { kind: "startAttempt"; request: number; attempt: number; director: number; key: string; timeLeft: Micros }
  | { kind: "abandonAttempt"; attempt: number }
  | { kind: "reportResult"; request: number; result: Result; director: number; retryAfter: Micros };

// What a message to a director carries besides the request itself. A key is valid at one director only: after a
// director has throttled the request, the next director receives a new key.
export interface SendParameters {
  key: string;
  previousDirector: string; // name of the director that the key was sent to before; empty: none
  sinceFirstSent: Micros | undefined; // time since the key was first sent
  timeLeft: Micros; // until the deadline of the request
}

const never = Number.MAX_SAFE_INTEGER;
const minAttemptTime: Micros = 50_000; // an attempt with less time left cannot be answered in time
const minStatedTimeLeft: Micros = 1_000; // one millisecond, the unit of the protocol
const maxDoublings = 20; // of a backoff or an ejection
const maxHintDoublings = 7; // of the retry-after time once no further attempt is allowed
const noDirector = -1;

interface PendingRequest {
  request: Request;
  attempting: boolean;
  deadline: Micros;
  wakeAt: Micros; // waiting: start of the next attempt; attempting: time-out of the attempt; 0: none
  notBefore: Micros;
  attempt: number; // the current or last one
  director: number; // of that attempt
  pinnedAddress: string; // of the director that may have accepted the unsafe request; empty: not pinned
  pinnedBefore: string; // pinnedAddress before the current attempt
  sentKey: string; // the key as sent to keyDirector
  keyDirector: string; // name of the director that may know sentKey; empty: none
  keyDirectorBefore: string; // keyDirector before the current attempt
  firstSentAt: Micros; // of sentKey
  attemptSent: boolean; // the current attempt was sent
  attempts: number;
  backoffs: number;
  everSent: boolean; // any attempt was sent
}

interface DirectorState {
  endpoint: DirectorEndpoint;
  ejectedUntil: Micros;
  consecutiveFailures: number;
}

// std::minstd_rand of C++, so that both libraries draw the same numbers from the same seed.
class MinStdRand {
  private state: number;
  constructor(seed: number) {
    this.state = (seed % 2147483646) + 1;
  }
  next(): number {
    this.state = (this.state * 48271) % 2147483647;
    return this.state;
  }
}

// Removes the times up to and including `cutoff`; `times` is sorted.
function removeUntil(times: Micros[], cutoff: Micros): void {
  while (times.length > 0 && times[0]! <= cutoff) times.shift();
}

// The span doubled `times` times, but `maxTimes` at most. Not a shift, which would truncate to 32 bits.
function doubled(span: Micros, times: number, maxTimes: number): Micros {
  return span * 2 ** Math.min(maxTimes, times);
}

// Decides on the attempts of all requests of one client. Every event appends the resulting actions to `actions`.
export class Core {
  private readonly policy: RetryPolicy;
  private readonly random: MinStdRand;
  private readonly directors: DirectorState[];
  private readonly pending = new Map<number, PendingRequest>();
  private readonly attempts = new Map<number, number>(); // in flight: attempt to request
  // Sorted by time, then by insertion; may hold outdated entries, see wakeAt.
  private readonly wakeUps: { at: Micros; request: number }[] = [];
  private readonly firstAttemptTimes: Micros[] = []; // within the budget window
  private readonly retryTimes: Micros[] = []; // within the budget window
  private lastAttempt = 0;
  // budgetRefused: retries that were not made because the retry budget was exhausted.
  readonly statistics = { requests: 0, attempts: 0, retries: 0, budgetRefused: 0, ejections: 0 };

  // `seed` initialises the random choices: the same seed and events give the same actions.
  constructor(directors: DirectorEndpoint[], policy: RetryPolicy, seed: number) {
    this.policy = policy;
    this.random = new MinStdRand(seed);
    this.directors = directors.map((endpoint) => ({ endpoint, ejectedUntil: 0, consecutiveFailures: 0 }));
  }

  // ---- events ----

  // Starts a request. An id that is already in use is ignored.
  submit(now: Micros, request: Request, actions: Action[]): void {
    if (this.pending.has(request.id)) return;
    ++this.statistics.requests;
    const pending: PendingRequest = {
      request,
      attempting: false,
      deadline: now + request.timeout,
      wakeAt: 0,
      notBefore: 0,
      attempt: 0,
      director: 0,
      pinnedAddress: "",
      pinnedBefore: "",
      sentKey: "",
      keyDirector: "",
      keyDirectorBefore: "",
      firstSentAt: 0,
      attemptSent: false,
      attempts: 0,
      backoffs: 0,
      everSent: false,
    };
    this.pending.set(request.id, pending);
    this.firstAttemptTimes.push(now);
    this.insertWakeUp(pending.deadline, request.id);
    this.proceed(now, pending, actions);
  }

  // Gives up a request; it is reported as cancelled.
  cancel(_now: Micros, request: number, actions: Action[]): void {
    const pending = this.pending.get(request);
    if (pending !== undefined) this.finish(pending, "cancelled", 0, 0, actions);
  }

  // The connection of the attempt is established and the director has named itself. Returns what the message has
  // to carry; from this call on the director may accept the attempt. Undefined means that nothing must be sent:
  // the attempt has ended, or was sent already.
  beginSend(now: Micros, attempt: number, director: string): SendParameters | undefined {
    const pending = this.findByAttempt(attempt);
    if (pending === undefined || pending.attemptSent) return undefined;
    const previousDirector = pending.keyDirector;
    if (previousDirector === "") {
      pending.sentKey = `${director}:${pending.request.key}`;
      pending.firstSentAt = now;
    }
    const parameters: SendParameters = {
      key: pending.sentKey,
      previousDirector,
      sinceFirstSent: previousDirector === "" ? undefined : now - pending.firstSentAt,
      // The director must not answer after the client has given up, so it is told the time left.
      timeLeft: Math.max(minStatedTimeLeft, pending.deadline - now),
    };
    pending.keyDirector = director;
    pending.everSent = pending.attemptSent = true;
    // Another director would not know of this attempt and could charge the viewer a second time.
    const state = this.directors[pending.director];
    if (pending.request.unsafe && state !== undefined) pending.pinnedAddress = state.endpoint.address;
    return parameters;
  }

  // The attempt ended without an answer: it was never sent, or its connection was lost afterwards. `unread`: the
  // peer proved that it did not read the message (RFC 9113: a stream above the last one in GOAWAY, or
  // REFUSED_STREAM).
  failed(now: Micros, attempt: number, actions: Action[], unread = false): void {
    const pending = this.findByAttempt(attempt);
    if (pending === undefined) return;
    this.attempts.delete(attempt);
    pending.attempting = false;
    // The proof covers this attempt only: an earlier attempt may still have been accepted.
    if (unread) {
      pending.pinnedAddress = pending.pinnedBefore;
      pending.keyDirector = pending.keyDirectorBefore;
    }
    this.eject(now, pending.director, 0);
    // A different director can be tried immediately; the pinned one only after a backoff.
    if (pending.pinnedAddress === "") this.proceed(now, pending, actions);
    else this.backOff(now, pending, 0, actions);
  }

  // A director answered the attempt. `retryAfter` is the delay that it requested; `directorDrains` says that it is
  // shutting down.
  answered(
    now: Micros,
    attempt: number,
    answer: Answer,
    retryAfter: Micros,
    directorDrains: boolean,
    actions: Action[],
  ): void {
    const pending = this.findByAttempt(attempt);
    if (pending === undefined) return;
    this.attempts.delete(attempt);
    pending.attempting = false;
    const director = pending.director;
    const state = this.directors[director];
    if (state !== undefined && !directorDrains) state.consecutiveFailures = 0;
    if (answer === "playing") return this.finish(pending, "playing", director, 0, actions);
    // A request with an unknown name is an error of the program: a retry cannot succeed, and the final result would
    // be a misleading `throttled`.
    if (answer === "wrong") return this.finish(pending, "terminated", director, 0, actions);
    if (directorDrains) this.eject(now, director, retryAfter);
    if (answer === "terminated") {
      if (pending.request.unsafe) return this.finish(pending, "terminated", director, 0, actions);
      return this.backOff(now, pending, retryAfter, actions);
    }
    // Throttled: nothing was executed, so an unsafe request may be sent to any director again.
    pending.pinnedAddress = "";
    pending.keyDirector = "";
    this.backOff(now, pending, retryAfter, actions);
  }

  // Executes everything that is due at `now`.
  tick(now: Micros, actions: Action[]): void {
    while (this.wakeUps.length > 0 && this.wakeUps[0]!.at <= now) {
      const { request } = this.wakeUps.shift()!;
      const pending = this.pending.get(request);
      if (pending === undefined) continue;
      if (now >= pending.deadline) {
        if (pending.attempting) this.eject(now, pending.director, 0);
        this.finish(pending, this.resultWithoutAnswer(pending), pending.director, 0, actions);
        continue;
      }
      if (pending.wakeAt === 0 || now < pending.wakeAt) continue;
      pending.wakeAt = 0;
      if (!pending.attempting) {
        this.proceed(now, pending, actions);
        continue;
      }
      // An unsafe attempt that may have been accepted is never abandoned: only its answer tells whether it ran.
      if (pending.request.unsafe && pending.attemptSent) continue;
      // The director may accept connections without ever answering on them.
      actions.push({ kind: "abandonAttempt", attempt: pending.attempt });
      this.failed(now, pending.attempt, actions);
    }
  }

  // When tick has to be called next if no event occurs before; the largest safe integer if nothing is scheduled.
  due(): Micros {
    return this.wakeUps[0]?.at ?? never;
  }

  // ---- decisions ----

  // Undefined if the attempt has ended.
  private findByAttempt(attempt: number): PendingRequest | undefined {
    const request = this.attempts.get(attempt);
    return request === undefined ? undefined : this.pending.get(request);
  }

  private insertWakeUp(at: Micros, request: number): void {
    let low = 0;
    let high = this.wakeUps.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.wakeUps[middle]!.at <= at) low = middle + 1;
      else high = middle;
    }
    this.wakeUps.splice(low, 0, { at, request });
  }

  // Schedules the request's next wake-up, in place of an earlier one.
  private wake(pending: PendingRequest, at: Micros): void {
    pending.wakeAt = at;
    this.insertWakeUp(at, pending.request.id);
  }

  // A random time in [0, span).
  private jitter(span: Micros): Micros {
    if (span <= 0) return 0;
    return Math.trunc(((this.random.next() % 1_000_000) / 1e6) * span);
  }

  // The result of a request that ends without a final answer.
  private resultWithoutAnswer(pending: PendingRequest): Result {
    if (pending.pinnedAddress !== "") return "unknown";
    return pending.everSent ? "throttled" : "unreachable";
  }

  // Reports the result and removes `pending`.
  private finish(
    pending: PendingRequest,
    result: Result,
    director: number,
    retryAfter: Micros,
    actions: Action[],
  ): void {
    if (pending.attempting) {
      actions.push({ kind: "abandonAttempt", attempt: pending.attempt });
      this.attempts.delete(pending.attempt);
    }
    actions.push({ kind: "reportResult", request: pending.request.id, result, director, retryAfter });
    this.pending.delete(pending.request.id);
  }

  // Takes one retry from the retry budget; false if it is exhausted.
  private takeRetry(now: Micros): boolean {
    removeUntil(this.firstAttemptTimes, now - this.policy.budgetWindow);
    removeUntil(this.retryTimes, now - this.policy.budgetWindow);
    const maxRetries = this.policy.minRetries + this.policy.budgetShare * this.firstAttemptTimes.length;
    if (this.retryTimes.length + 1 > maxRetries) return false;
    this.retryTimes.push(now);
    return true;
  }

  // Excludes the director from selection for at least `minSpan`.
  private eject(now: Micros, director: number, minSpan: Micros): void {
    const state = this.directors[director];
    if (state === undefined) return;
    const span = Math.min(
      this.policy.maxEjection,
      doubled(this.policy.minEjection, state.consecutiveFailures, maxDoublings),
    );
    ++state.consecutiveFailures;
    ++this.statistics.ejections;
    // Half of the span is random, because all clients see the same failure at the same time.
    const half = Math.trunc(span / 2);
    state.ejectedUntil = Math.max(state.ejectedUntil, now + Math.max(minSpan, half + this.jitter(half)));
  }

  // The index of a director, or noDirector and the time from which one is available.
  private pickDirector(now: Micros, pending: PendingRequest): { director: number; availableAt: Micros } {
    let availableAt = never;
    let firstAvailable = noDirector;
    const sameZone: number[] = [];
    const otherZones: number[] = [];
    this.directors.forEach((state, index) => {
      if (pending.pinnedAddress !== "" && state.endpoint.address !== pending.pinnedAddress) return;
      // A pinned request has no alternative: it follows its own backoff and ignores ejections, which other requests
      // may have caused.
      if (state.ejectedUntil > now && pending.pinnedAddress === "") {
        if (state.ejectedUntil < availableAt) {
          availableAt = state.ejectedUntil;
          firstAvailable = index;
        }
        return;
      }
      (state.endpoint.zone === this.policy.zone ? sameZone : otherZones).push(index);
    });
    const candidates = sameZone.length === 0 ? otherZones : sameZone;
    // If every director fails some requests, all of them are ejected at once. A first attempt cannot cause a retry
    // storm, so it goes to the director whose ejection ends first; otherwise the client would refuse its viewers
    // without asking any director.
    if (candidates.length === 0) return { director: pending.attempts === 0 ? firstAvailable : noDirector, availableAt };
    return { director: candidates[this.random.next() % candidates.length]!, availableAt };
  }

  // Starts the next attempt, schedules it, or ends the request if no attempt is possible.
  private proceed(now: Micros, pending: PendingRequest, actions: Action[]): void {
    if (pending.deadline - now < minAttemptTime)
      return this.finish(pending, this.resultWithoutAnswer(pending), pending.director, 0, actions);
    if (pending.notBefore > now) return this.wake(pending, pending.notBefore);
    const { director, availableAt } = this.pickDirector(now, pending);
    if (director === noDirector) {
      // No director becomes available before the deadline: report that now, with the time for a new request.
      if (availableAt > pending.deadline - minAttemptTime) {
        const retryAfter = availableAt === never ? this.policy.maxBackoff : availableAt - now;
        return this.finish(pending, this.resultWithoutAnswer(pending), pending.director, retryAfter, actions);
      }
      return this.wake(pending, availableAt);
    }
    if (pending.attempts >= this.policy.maxAttempts || (pending.attempts > 0 && !this.takeRetry(now))) {
      if (pending.attempts < this.policy.maxAttempts) ++this.statistics.budgetRefused;
      const retryAfter = doubled(this.policy.minBackoff, pending.backoffs, maxHintDoublings);
      return this.finish(pending, this.resultWithoutAnswer(pending), pending.director, retryAfter, actions);
    }
    if (pending.attempts++ > 0) ++this.statistics.retries;
    ++this.statistics.attempts;
    pending.attempting = true;
    pending.director = director;
    pending.pinnedBefore = pending.pinnedAddress;
    pending.keyDirectorBefore = pending.keyDirector;
    pending.attemptSent = false;
    pending.attempt = ++this.lastAttempt;
    this.attempts.set(pending.attempt, pending.request.id);
    const timeLeft = pending.deadline - now;
    if (this.policy.attemptTimeout < timeLeft) this.wake(pending, now + this.policy.attemptTimeout);
    actions.push({
      kind: "startAttempt",
      request: pending.request.id,
      attempt: pending.attempt,
      director,
      key: pending.request.key,
      timeLeft,
    });
  }

  // Schedules a retry after `minDelay` plus a random backoff, or ends the request if that is too late. Exponential
  // backoff with full jitter on top of the requested delay, so that clients that were refused at the same time do
  // not retry at the same time.
  private backOff(now: Micros, pending: PendingRequest, minDelay: Micros, actions: Action[]): void {
    const span = Math.min(this.policy.maxBackoff, doubled(this.policy.minBackoff, pending.backoffs, maxDoublings));
    ++pending.backoffs;
    const at = now + minDelay + this.jitter(span);
    pending.notBefore = now + minDelay;
    if (at > pending.deadline - minAttemptTime) {
      // A pinned request keeps waiting and makes a last attempt just before its deadline. Any other request ends now
      // and reports when a new one makes sense.
      if (pending.pinnedAddress === "")
        return this.finish(
          pending,
          this.resultWithoutAnswer(pending),
          pending.director,
          Math.max(minDelay, at - now),
          actions,
        );
      return this.wake(pending, Math.max(now + 1, pending.deadline - minAttemptTime));
    }
    this.wake(pending, at);
  }
}
