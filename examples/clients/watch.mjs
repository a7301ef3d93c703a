// Requests a subscription to a title with the TypeScript library in Node and prints its result and its end:
//   npm --prefix client/typescript run build && node examples/clients/watch.mjs 127.0.0.1:7400 recipe-clip flatbread
// In a browser, omit makeSocket: the library then uses the browser's WebSocket.
import { createRequire } from "node:module";
import { SessionClient } from "../../client/typescript/dist/typescript/src/index.js";

const { WebSocket } = createRequire(new URL("../../client/typescript/", import.meta.url))("ws");
const [address, room, title] = process.argv.slice(2);
const client = new SessionClient([{ address, zone: "here" }], {
  makeSocket: (url, protocol) => new WebSocket(url, protocol),
});
client.subscribe(
  { viewer: "example", room, title, unsafe: room === "paid-class" },
  {
    onResult: (_, result) => console.log(result),
    onEnd: (_, reason) => console.log("ended:", reason),
  },
);
