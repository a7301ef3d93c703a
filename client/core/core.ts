// When a client asks again, where, how long it waits and when it gives up: the same decisions as client/core in
// C++, statement for statement, so that every library gives the same answers (tests/traces holds both to that).
// No I/O, no clock, no timer. Times are whole microseconds on the caller's clock; nothing throws.
// What it keeps is numbered in client/core/core.h.

export type Micros = number;

export interface DirectorEndpoint {
  address: string;
  building: string;
}

export interface RetryPolicy {
  building: string;
  minBackoff: Micros;
  maxBackoff: Micros;
  minRetries: number;
  budgetShare: number;
  budgetWindow: Micros;
  minEjection: Micros;
  maxEjection: Micros;
  attemptTimeout: Micros;
  maxAttempts: number;
}

export const defaultRetryPolicy: RetryPolicy = {
  building: "",
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

export interface Request {
  id: number;
  key: string;
  unsafe: boolean;
  timeout: Micros;
}

// wrong: it names what is not there: nothing was taken, and asking again would not help.
export type Answer = "playing" | "throttled" | "terminated" | "wrong";
export type Result = "playing" | "throttled" | "terminated" | "unknown" | "unreachable" | "cancelled";

export type Action =
  | { act: "try"; request: number; attempt: number; director: number; key: string; timeLeft: Micros }
  | { act: "abandon"; attempt: number }
  | { act: "give"; request: number; result: Result; director: number; retryAfter: Micros };

// What an ask carries besides the wish itself; see core.h.
export interface SendParameters {
  key: string;
  again: string;
  againAge: Micros | undefined;
  timeLeft: Micros;
}

const never = Number.MAX_SAFE_INTEGER;
const leastTime = 50_000; // under it no try could be answered in time
const noPlace = -1;

interface Held {
  wish: Request;
  trying: boolean;
  endsAt: Micros;
  wakeAt: Micros;
  notBefore: Micros;
  attempt: number;
  director: number;
  bound: string;
  boundBefore: string;
  keySent: string;
  sentTo: string;
  sentToBefore: string;
  firstSentAt: Micros;
  sentNow: boolean;
  tries: number;
  waits: number;
  sentOnce: boolean;
}

interface Known {
  at: DirectorEndpoint;
  shunUntil: Micros;
  failures: number;
}

// minstd_rand of C++: the same numbers from the same seed.
class Chance {
  private state: number;
  constructor(seed: number) {
    this.state = (seed % 2147483646) + 1;
  }
  next(): number {
    this.state = (this.state * 48271) % 2147483647;
    return this.state;
  }
}

function forget(times: Micros[], before: Micros): void {
  while (times.length > 0 && times[0]! <= before) times.shift();
}

// A span that doubles, without C++'s shift: 2^20 at most.
function doubled(span: Micros, times: number, most: number): Micros {
  return span * 2 ** Math.min(most, times);
}

export class Core {
  private readonly manners: RetryPolicy;
  private readonly chance: Chance;
  private readonly directors: Known[];
  private readonly held = new Map<number, Held>();
  private readonly tries = new Map<number, number>();
  private readonly dues: { at: Micros; wish: number }[] = []; // ordered by time, then by when it was noted
  private readonly firsts: Micros[] = [];
  private readonly furthers: Micros[] = [];
  private last = 0;
  readonly statistics = { requests: 0, attempts: 0, retries: 0, budgetRefused: 0, ejections: 0 };

  constructor(directors: DirectorEndpoint[], manners: RetryPolicy, seed: number) {
    this.manners = manners;
    this.chance = new Chance(seed);
    this.directors = directors.map((at) => ({ at, shunUntil: 0, failures: 0 }));
  }

  // ---- events ----

  submit(now: Micros, wish: Request, acts: Action[]): void {
    if (this.held.has(wish.id)) return;
    ++this.statistics.requests;
    const held: Held = {
      wish,
      trying: false,
      endsAt: now + wish.timeout,
      wakeAt: 0,
      notBefore: 0,
      attempt: 0,
      director: 0,
      bound: "",
      boundBefore: "",
      keySent: "",
      sentTo: "",
      sentToBefore: "",
      firstSentAt: 0,
      sentNow: false,
      tries: 0,
      waits: 0,
      sentOnce: false,
    };
    this.held.set(wish.id, held);
    this.firsts.push(now);
    this.remind(held.endsAt, wish.id);
    this.go(now, held, acts);
  }

  cancel(_now: Micros, wish: number, acts: Action[]): void {
    const held = this.held.get(wish);
    if (held !== undefined) this.end(held, "cancelled", 0, 0, acts);
  }

  // Undefined: the try is over, and nothing is to be sent.
  beginSend(now: Micros, attempt: number, director: string): SendParameters | undefined {
    const held = this.byTry(attempt);
    if (held === undefined || held.sentNow) return undefined;
    const again = held.sentTo;
    if (again === "") {
      held.keySent = `${director}:${held.wish.key}`;
      held.firstSentAt = now;
    }
    const out: SendParameters = {
      key: held.keySent,
      again,
      againAge: again === "" ? undefined : now - held.firstSentAt,
      // Guards against a director that answers after the client gave up: it is told how long there is.
      timeLeft: Math.max(1000, held.endsAt - now),
    };
    held.sentTo = director;
    held.sentOnce = held.sentNow = true;
    // Guards against a second charge at a director that knows nothing of the first.
    const known = this.directors[held.director];
    if (held.wish.unsafe && known !== undefined) held.bound = known.at.address;
    return out;
  }

  failed(now: Micros, attempt: number, acts: Action[], unread = false): void {
    const held = this.byTry(attempt);
    if (held === undefined) return;
    this.tries.delete(attempt);
    held.trying = false;
    // What was proved of this try says nothing of those before it.
    if (unread) {
      held.bound = held.boundBefore;
      held.sentTo = held.sentToBefore;
    }
    this.shun(now, held.director, 0);
    // Another director may be asked at once; the same one only after a wait.
    if (held.bound === "") this.go(now, held, acts);
    else this.wait(now, held, 0, acts);
  }

  answered(
    now: Micros,
    attempt: number,
    answer: Answer,
    retryAfter: Micros,
    directorDrains: boolean,
    acts: Action[],
  ): void {
    const held = this.byTry(attempt);
    if (held === undefined) return;
    this.tries.delete(attempt);
    held.trying = false;
    const director = held.director;
    const known = this.directors[director];
    if (known !== undefined && !directorDrains) known.failures = 0;
    if (answer === "playing") return this.end(held, "playing", director, 0, acts);
    // Guards against a mistake of the program that is asked again and again, and then called a throttle.
    if (answer === "wrong") return this.end(held, "terminated", director, 0, acts);
    if (directorDrains) this.shun(now, director, retryAfter);
    if (answer === "terminated") {
      if (held.wish.unsafe) return this.end(held, "terminated", director, 0, acts);
      return this.wait(now, held, retryAfter, acts);
    }
    // Throttled: nothing of it ran, so an unsafe wish is free to go elsewhere again.
    held.bound = "";
    held.sentTo = "";
    this.wait(now, held, retryAfter, acts);
  }

  tick(now: Micros, acts: Action[]): void {
    while (this.dues.length > 0 && this.dues[0]!.at <= now) {
      const { wish } = this.dues.shift()!;
      const held = this.held.get(wish);
      if (held === undefined) continue;
      if (now >= held.endsAt) {
        if (held.trying) this.shun(now, held.director, 0);
        this.end(held, this.lastWord(held), held.director, 0, acts);
        continue;
      }
      if (held.wakeAt === 0 || now < held.wakeAt) continue;
      held.wakeAt = 0;
      if (!held.trying) {
        this.go(now, held, acts);
        continue;
      }
      // An unsafe ask that may have been taken is never called off: its answer is the only one there is.
      if (held.wish.unsafe && held.sentNow) continue;
      // Guards against a director that takes connections and says nothing on them.
      acts.push({ act: "abandon", attempt: held.attempt });
      this.failed(now, held.attempt, acts);
    }
  }

  due(): Micros {
    return this.dues[0]?.at ?? never;
  }

  // ---- decisions ----

  private byTry(attempt: number): Held | undefined {
    const wish = this.tries.get(attempt);
    return wish === undefined ? undefined : this.held.get(wish);
  }

  private remind(at: Micros, wish: number): void {
    let low = 0;
    let high = this.dues.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.dues[middle]!.at <= at) low = middle + 1;
      else high = middle;
    }
    this.dues.splice(low, 0, { at, wish });
  }

  private note(held: Held, at: Micros): void {
    held.wakeAt = at;
    this.remind(at, held.wish.id);
  }

  private jitter(most: Micros): Micros {
    if (most <= 0) return 0;
    return Math.trunc(((this.chance.next() % 1_000_000) / 1e6) * most);
  }

  private lastWord(held: Held): Result {
    if (held.bound !== "") return "unknown";
    return held.sentOnce ? "throttled" : "unreachable";
  }

  private end(held: Held, result: Result, director: number, retryAfter: Micros, acts: Action[]): void {
    if (held.trying) {
      acts.push({ act: "abandon", attempt: held.attempt });
      this.tries.delete(held.attempt);
    }
    acts.push({ act: "give", request: held.wish.id, result, director, retryAfter });
    this.held.delete(held.wish.id);
  }

  private spend(now: Micros): boolean {
    forget(this.firsts, now - this.manners.budgetWindow);
    forget(this.furthers, now - this.manners.budgetWindow);
    const most = this.manners.minRetries + this.manners.budgetShare * this.firsts.length;
    if (this.furthers.length + 1 > most) return false;
    this.furthers.push(now);
    return true;
  }

  private shun(now: Micros, director: number, least: Micros): void {
    const known = this.directors[director];
    if (known === undefined) return;
    const span = Math.min(this.manners.maxEjection, doubled(this.manners.minEjection, known.failures, 20));
    ++known.failures;
    ++this.statistics.ejections;
    // Half of it by chance: all clients saw the same failure at the same time.
    const half = Math.trunc(span / 2);
    known.shunUntil = Math.max(known.shunUntil, now + Math.max(least, half + this.jitter(half)));
  }

  // A place in the list, or from when somebody can be asked.
  private choose(now: Micros, held: Held): { director: number; freeAt: Micros } {
    let freeAt = never;
    let soonest = noPlace;
    const near: number[] = [];
    const far: number[] = [];
    this.directors.forEach((known, place) => {
      if (held.bound !== "" && known.at.address !== held.bound) return;
      // A bound wish has nowhere else to go: its waits are its own, not those of the director's other callers.
      if (known.shunUntil > now && held.bound === "") {
        if (known.shunUntil < freeAt) {
          freeAt = known.shunUntil;
          soonest = place;
        }
        return;
      }
      (known.at.building === this.manners.building ? near : far).push(place);
    });
    const from = near.length === 0 ? far : near;
    // Guards against a client that turns its viewers away unasked: where every director fails some asks, all of
    // them are shunned at once. A first try is nobody's storm, and goes to the one that is free the soonest.
    if (from.length === 0) return { director: held.tries === 0 ? soonest : noPlace, freeAt };
    return { director: from[this.chance.next() % from.length]!, freeAt };
  }

  private go(now: Micros, held: Held, acts: Action[]): void {
    if (held.endsAt - now < leastTime) return this.end(held, this.lastWord(held), held.director, 0, acts);
    if (held.notBefore > now) return this.note(held, held.notBefore);
    const { director, freeAt } = this.choose(now, held);
    if (director === noPlace) {
      // Nobody to ask within its time is told at once, with the time at which it makes sense to come back.
      if (freeAt > held.endsAt - leastTime) {
        const retryAfter = freeAt === never ? this.manners.maxBackoff : freeAt - now;
        return this.end(held, this.lastWord(held), held.director, retryAfter, acts);
      }
      return this.note(held, freeAt);
    }
    if (held.tries >= this.manners.maxAttempts || (held.tries > 0 && !this.spend(now))) {
      if (held.tries < this.manners.maxAttempts) ++this.statistics.budgetRefused;
      const retryAfter = doubled(this.manners.minBackoff, held.waits, 7);
      return this.end(held, this.lastWord(held), held.director, retryAfter, acts);
    }
    if (held.tries++ > 0) ++this.statistics.retries;
    ++this.statistics.attempts;
    held.trying = true;
    held.director = director;
    held.boundBefore = held.bound;
    held.sentToBefore = held.sentTo;
    held.sentNow = false;
    held.attempt = ++this.last;
    this.tries.set(held.attempt, held.wish.id);
    const timeLeft = held.endsAt - now;
    if (this.manners.attemptTimeout < timeLeft) this.note(held, now + this.manners.attemptTimeout);
    acts.push({
      act: "try",
      request: held.wish.id,
      attempt: held.attempt,
      director,
      key: held.wish.key,
      timeLeft,
    });
  }

  // Full jitter over a span that doubles, after what the answer asked for: a crowd refused together does not
  // come back together.
  private wait(now: Micros, held: Held, least: Micros, acts: Action[]): void {
    const span = Math.min(this.manners.maxBackoff, doubled(this.manners.minBackoff, held.waits, 20));
    ++held.waits;
    const at = now + least + this.jitter(span);
    held.notBefore = now + least;
    if (at > held.endsAt - leastTime) {
      // A bound wish waits for its one chance until the end; others are told now when to come back.
      if (held.bound === "")
        return this.end(held, this.lastWord(held), held.director, Math.max(least, at - now), acts);
      return this.note(held, Math.max(now + 1, held.endsAt - leastTime));
    }
    this.note(held, at);
  }
}
