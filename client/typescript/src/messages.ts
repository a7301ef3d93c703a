// Encodes and decodes the JSON messages of the session protocol (docs/protocol/session-websocket.md). Unknown fields
// and message types are ignored, because a newer director may send more than this library knows. Times are
// microseconds here and milliseconds on the wire.
import type { Micros } from "../../core/core.js";

// A request for a subscription, from player to director. On the wire its type is "ask".
export interface PlayMessage {
  key: string;
  viewer: string;
  title: string;
  room: string;
  tenant?: string | undefined;
  top?: number | undefined;
  timeout?: Micros | undefined;
  length?: Micros | undefined;
  previousDirector?: string | undefined; // the director that the key was sent to before; wire name `again`
  sinceFirstSent?: Micros | undefined; // time since the key was first sent there; wire name `againMs`
}

// The type of a message from director to player.
export type AnswerKind = "hello" | "playing" | "rung" | "ended" | "throttled" | "terminated" | "error";

// A message from director to player. A field that the message lacks is empty or 0.
export interface AnswerMessage {
  kind: AnswerKind; // wire name `type`
  director: string;
  subscription: string;
  node: string;
  rung: number;
  ticket: string;
  reason: string;
  retryAfter: Micros;
}

const maxRetryAfterMs = 24 * 3600 * 1000;
const answerKinds: readonly string[] = ["hello", "playing", "rung", "ended", "throttled", "terminated", "error"];

// `id` names the request on its socket.
export function encodePlay(id: string, message: PlayMessage): string {
  const json: Record<string, unknown> = {
    type: "ask",
    id,
    key: message.key,
    viewer: message.viewer,
    title: message.title,
    room: message.room,
  };
  if (message.top !== undefined) json["top"] = message.top;
  if (message.tenant) json["tenant"] = message.tenant;
  if (message.previousDirector) json["again"] = message.previousDirector;
  // Rounded up, so that the director never takes the key for more recent than it is.
  if (message.sinceFirstSent !== undefined) json["againMs"] = Math.ceil(message.sinceFirstSent / 1000);
  if (message.timeout !== undefined) json["timeoutMs"] = Math.max(1, Math.trunc(message.timeout / 1000));
  if (message.length !== undefined) json["lengthMs"] = Math.trunc(message.length / 1000);
  return JSON.stringify(json);
}

// Ends the request with this id, or the subscription that came of it.
export function encodeLeave(id: string): string {
  return JSON.stringify({ type: "leave", id });
}

// Undefined if the text is not a message of a director.
export function readAnswer(text: string): AnswerMessage | undefined {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return undefined;
  }
  if (typeof json !== "object" || json === null || Array.isArray(json)) return undefined;
  const fields = json as Record<string, unknown>;
  const string = (name: string): string => (typeof fields[name] === "string" ? (fields[name] as string) : "");
  const number = (name: string): number => {
    const value = fields[name];
    return typeof value === "number" && Number.isFinite(value) && value >= 0 ? Math.trunc(value) : 0;
  };
  const type = string("type");
  if (!answerKinds.includes(type)) return undefined;
  return {
    kind: type as AnswerKind,
    director: string("director"),
    subscription: string("subscription"),
    node: string("node"),
    rung: number("rung"),
    ticket: string("ticket"),
    reason: string("reason"),
    retryAfter: Math.min(number("retryAfterMs"), maxRetryAfterMs) * 1000,
  };
}
