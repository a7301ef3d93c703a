export { Core, defaultRetryPolicy } from "../../core/core.js";
export type { Answer, DirectorEndpoint, RetryPolicy, Micros, Result, Request } from "../../core/core.js";
export { SessionClient } from "./session_client.js";
export type { Around, Ears, Heard, SocketLike, SocketMaker, Want } from "./session_client.js";
