/**
 * Generated from settings.schema.json by `npm run generate`; change the schema instead.
 */

/** JSON schema of the settings. */
export const settingsSchema = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "KumquatfrontSettings",
  "description": "Settings of a kumquatfront process. Times are in milliseconds; addresses are ip:port.",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "entry": { "$ref": "#/definitions/EntryFile" },
    "control": { "$ref": "#/definitions/ControlFile" }
  },
  "definitions": {
    "Address": {
      "type": "string",
      "pattern": "^(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}$",
      "description": "ip:port"
    },
    "KeyHash": {
      "type": "string",
      "pattern": "^[0-9a-f]{64}$",
      "description": "SHA-256 of a key, in hexadecimal"
    },
    "Milliseconds": { "type": "number", "exclusiveMinimum": 0 },
    "Share": { "type": "number", "minimum": 0, "exclusiveMaximum": 1 },
    "LogLevel": { "enum": [ "debug", "info", "warn", "error", "silent" ] },
    "Metrics": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "host": { "type": "string", "description": "Address of the StatsD collector" },
        "port": { "type": "integer", "minimum": 1, "maximum": 65535 }
      }
    },
    "EntryFile": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "dataCentre",
        "callerAddress",
        "peerAddress",
        "control",
        "clusterKey",
        "signingKey",
        "upstreamKeyHash"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[A-Za-z0-9._-]{1,63}$",
          "description": "Unique name of this entry"
        },
        "dataCentre": { "type": "string", "minLength": 1, "description": "Data centre of this VM" },
        "callerAddress": { "$ref": "#/definitions/Address", "description": "Listen address for callers and upstreams" },
        "peerAddress": { "$ref": "#/definitions/Address", "description": "Listen address for other processes of the cluster" },
        "entries": {
          "type": "array",
          "items": { "$ref": "#/definitions/Address" },
          "description": "Peer addresses of seed entries, contacted at startup"
        },
        "control": {
          "type": "array",
          "minItems": 1,
          "items": { "$ref": "#/definitions/Address" },
          "description": "Peer addresses of the control replicas"
        },
        "clusterKey": { "type": "string", "minLength": 16, "description": "Shared key that authenticates the processes of the cluster to each other" },
        "signingKey": { "type": "string", "minLength": 16, "description": "Key that signs resume tokens; must be identical on every entry" },
        "upstreamKeyHash": { "$ref": "#/definitions/KeyHash", "description": "SHA-256 of the key that authenticates announcements of upstreams" },
        "logLevel": { "$ref": "#/definitions/LogLevel" },
        "metrics": { "$ref": "#/definitions/Metrics" },
        "directory": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "round": { "$ref": "#/definitions/Milliseconds", "description": "Interval between gossip rounds" },
            "fanout": { "type": "integer", "minimum": 1, "maximum": 16, "description": "Number of entries contacted in each gossip round" },
            "keepFor": { "$ref": "#/definitions/Milliseconds", "description": "Retention time of directory updates" },
            "presenceLease": { "$ref": "#/definitions/Milliseconds", "description": "Time without a presence update after which an entry is removed from the directory" }
          }
        },
        "configuration": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "pullInterval": { "$ref": "#/definitions/Milliseconds", "description": "Interval between configuration pulls" },
            "pullTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Timeout of a configuration pull" },
            "staleAfter": { "$ref": "#/definitions/Milliseconds", "description": "Time without a fresh answer from control after which the entry reports itself as stale" }
          }
        },
        "claims": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "batchWindow": { "type": "number", "minimum": 0, "description": "Time window in which claims are batched" },
            "claimDeadline": { "$ref": "#/definitions/Milliseconds", "description": "Deadline for recording a claim" },
            "settleDeadline": { "$ref": "#/definitions/Milliseconds", "description": "Deadline for reporting the outcome of a claim to control" }
          }
        },
        "relay": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "stallTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Idle time after which the stream is requested from the engine again" },
            "openTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Time limit for an engine to accept a request" },
            "silenceLimit": { "$ref": "#/definitions/Milliseconds", "description": "Idle time after which a generation is aborted" },
            "resumePause": { "type": "number", "minimum": 0, "description": "Delay before a resumption, multiplied by the number of attempts" },
            "resumeGrace": { "$ref": "#/definitions/Milliseconds", "description": "Time for which a generation is retained after its caller disconnects" },
            "resumeLimit": { "type": "integer", "minimum": 0, "description": "Maximum number of resumptions without a token before the engine is abandoned" },
            "generationLimit": { "type": "integer", "minimum": 1, "description": "Maximum number of generations of one request" }
          }
        },
        "headroom": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "reservedMemory": { "$ref": "#/definitions/Share", "description": "Share of an engine's memory reserved for urgent requests" },
            "reservedSlots": { "$ref": "#/definitions/Share", "description": "Share of an engine's slots reserved for urgent requests" },
            "deviations": { "type": "number", "minimum": 0, "maximum": 6, "description": "Standard deviations above the mean used in the memory forecast" }
          }
        },
        "coordination": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "groupSize": { "type": "integer", "minimum": 1, "description": "Maximum number of engines that one entry coordinates" },
            "interval": { "$ref": "#/definitions/Milliseconds", "description": "Interval between placement requests and between progress reports" },
            "askTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Timeout of a placement request, after which the entry places the request locally" }
          }
        },
        "serviceTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Response timeout of plain services" },
        "upstreamWait": { "$ref": "#/definitions/Milliseconds", "description": "Maximum time a request waits for an upstream to be announced" },
        "addressLife": { "$ref": "#/definitions/Milliseconds", "description": "Time for which callers may cache the list of entry addresses" },
        "callerBounds": { "$ref": "#/definitions/CallerBounds" }
      }
    },
    "ControlFile": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "dataCentre",
        "operatorAddress",
        "peerAddress",
        "control",
        "clusterKey",
        "operatorKeyHash",
        "dataFolder"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[A-Za-z0-9._-]{1,63}$",
          "description": "Unique name of this control VM"
        },
        "dataCentre": { "type": "string", "minLength": 1, "description": "Data centre of this VM" },
        "operatorAddress": { "$ref": "#/definitions/Address", "description": "Listen address for operators" },
        "peerAddress": { "$ref": "#/definitions/Address", "description": "Listen address for other processes of the cluster" },
        "control": {
          "type": "array",
          "minItems": 1,
          "maxItems": 7,
          "items": { "$ref": "#/definitions/Address" },
          "description": "Peer addresses of all control VMs, including this one"
        },
        "clusterKey": { "type": "string", "minLength": 16, "description": "Shared key that authenticates the processes of the cluster to each other" },
        "operatorKeyHash": { "$ref": "#/definitions/KeyHash", "description": "SHA-256 of the operators' key" },
        "dataFolder": { "type": "string", "minLength": 1, "description": "Directory for the persistent replicated state" },
        "logLevel": { "$ref": "#/definitions/LogLevel" },
        "metrics": { "$ref": "#/definitions/Metrics" },
        "timing": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "heartbeat": { "$ref": "#/definitions/Milliseconds", "description": "Interval between heartbeats of the leader" },
            "electionTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Time without a heartbeat after which a new leader is elected" },
            "leaseShare": { "$ref": "#/definitions/Share", "description": "Duration of the leader lease as a share of the election timeout" },
            "snapshotEvery": { "type": "integer", "minimum": 1, "description": "Number of log entries between snapshots" },
            "snapshotPieceLength": { "type": "integer", "minimum": 1024, "description": "Maximum number of snapshot characters in one message" },
            "appendLimit": { "type": "integer", "minimum": 1, "description": "Maximum number of log entries in one message" }
          }
        },
        "limits": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "changeIdLife": { "$ref": "#/definitions/Milliseconds", "description": "Time for which a repeated change id receives the original response" },
            "claimLife": { "$ref": "#/definitions/Milliseconds", "description": "Retention time of a claim" },
            "claimsPerAccount": { "type": "integer", "minimum": 1, "description": "Maximum number of claims retained for one client account" },
            "tombstones": { "type": "integer", "minimum": 1, "description": "Number of deleted objects retained for incremental pulls" },
            "finishedOrders": { "type": "integer", "minimum": 0, "description": "Number of finished orders retained" },
            "quarantined": { "type": "integer", "minimum": 1, "description": "Maximum number of contents in quarantine" }
          }
        },
        "orders": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "longestFlight": { "$ref": "#/definitions/Milliseconds", "description": "Maximum time for which an order can be in flight" },
            "weightLoadsPerMinute": { "type": "integer", "minimum": 1, "description": "Maximum number of weight loads from the weight store in one minute" },
            "pumpInterval": { "$ref": "#/definitions/Milliseconds", "description": "Interval at which open orders are processed" },
            "attempts": { "type": "integer", "minimum": 1, "description": "Maximum number of attempts for an order" }
          }
        },
        "entryLease": { "$ref": "#/definitions/Milliseconds", "description": "Time without contact after which an entry is no longer counted" },
        "callerBounds": { "$ref": "#/definitions/CallerBounds" }
      }
    },
    "CallerBounds": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "heldBytes": { "type": "integer", "minimum": 1048576, "description": "Memory of all requests that have arrived in part or are served, in bytes; by default a tenth of 200 MiB" },
        "requestsAhead": { "type": "integer", "minimum": 1, "description": "Requests that a connection may have sent behind the one that is served; more close it" },
        "stallTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Time without a byte after which a request that has arrived in part is refused" },
        "connections": { "type": "integer", "minimum": 1, "description": "Connections at one listening address; above it, one without a request is closed" }
      }
    }
  }
};
