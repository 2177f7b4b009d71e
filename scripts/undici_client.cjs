"use strict";
/**
 * The part of undici that the bundled programs use: its clients. The entry point of the library also loads
 * fetch, web sockets, caches and cookies, which takes up a good part of the start-up time.
 */
const Agent = require("../node_modules/undici/lib/dispatcher/agent.js");
const Client = require("../node_modules/undici/lib/dispatcher/client.js");
const Dispatcher = require(
  "../node_modules/undici/lib/dispatcher/dispatcher.js",
);
const buildConnector = require("../node_modules/undici/lib/core/connect.js");
Dispatcher.prototype.request = require(
  "../node_modules/undici/lib/api/api-request.js",
);

module.exports = { Agent, Client, buildConnector };
