// The same with the website's library, in Node:
//   npm --prefix client/typescript run build && node examples/clients/watch.mjs 127.0.0.1:7400 recipe-clip flatbread
// In a browser, leave makeSocket out: its own WebSocket is taken.
import { createRequire } from "node:module";
import { SessionClient } from "../../client/typescript/dist/typescript/src/index.js";

const { WebSocket } = createRequire(new URL("../../client/typescript/", import.meta.url))("ws");
const [address, room, title] = process.argv.slice(2);
const client = new SessionClient([{ address, building: "here" }], {
  makeSocket: (url, protocol) => new WebSocket(url, protocol),
});
client.ask(
  { viewer: "example", room, title, unsafe: room === "paid-class" },
  {
    onResult: (_, heard) => console.log(heard),
    onEnd: (_, reason) => console.log("ended:", reason),
  },
);
