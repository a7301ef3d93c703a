// The public interface of the package.
export { Core, defaultRetryPolicy } from "../../core/core.js";
export type { Answer, DirectorEndpoint, RetryPolicy, Micros, Result, Request } from "../../core/core.js";
export { SessionClient } from "./session_client.js";
export type {
  SessionClientOptions,
  SocketLike,
  SocketMaker,
  SubscriptionCallbacks,
  SubscriptionRequest,
  SubscriptionResult,
} from "./session_client.js";
