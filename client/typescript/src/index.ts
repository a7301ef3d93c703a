export { Core, usualManners } from "../../core/core.js";
export type { Answer, DirectorAt, Manners, Micros, Result, Wish } from "../../core/core.js";
export { SessionClient } from "./session_client.js";
export type { Around, Ears, Heard, SocketLike, SocketMaker, Want } from "./session_client.js";
