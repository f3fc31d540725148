/**
 * Generated from settings.schema.json by `npm run generate`; change the schema instead.
 */

/** JSON schema of the settings. */
export const settingsSchema = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "KumquatfrontSettings",
  "description": "Settings of a kumquatfront process. Times are milliseconds, addresses are ip:port.",
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
        "callerAddress": { "$ref": "#/definitions/Address", "description": "Where callers and upstreams connect" },
        "peerAddress": { "$ref": "#/definitions/Address", "description": "Where other processes of the system connect" },
        "entries": {
          "type": "array",
          "items": { "$ref": "#/definitions/Address" },
          "description": "Peer addresses of other entries to begin with"
        },
        "control": {
          "type": "array",
          "minItems": 1,
          "items": { "$ref": "#/definitions/Address" },
          "description": "Peer addresses of the control replicas"
        },
        "clusterKey": { "type": "string", "minLength": 16, "description": "Key that all processes of the system share" },
        "signingKey": { "type": "string", "minLength": 16, "description": "Key that signs resume tokens; the same on every entry" },
        "upstreamKeyHash": { "$ref": "#/definitions/KeyHash", "description": "SHA-256 of the key that upstreams announce themselves with" },
        "logLevel": { "$ref": "#/definitions/LogLevel" },
        "metrics": { "$ref": "#/definitions/Metrics" },
        "directory": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "round": { "$ref": "#/definitions/Milliseconds", "description": "Time between exchanges with other entries" },
            "fanout": { "type": "integer", "minimum": 1, "maximum": 16, "description": "Entries asked in each exchange" },
            "keepFor": { "$ref": "#/definitions/Milliseconds", "description": "Time news is kept" },
            "presenceLease": { "$ref": "#/definitions/Milliseconds", "description": "Silence after which another entry counts as gone" }
          }
        },
        "configuration": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "pullInterval": { "$ref": "#/definitions/Milliseconds", "description": "Time between pulls of the configuration" },
            "pullTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Time a replica has to answer a pull" },
            "staleAfter": { "$ref": "#/definitions/Milliseconds", "description": "Time without control after which the entry says that it is stale" }
          }
        },
        "claims": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "batchWindow": { "type": "number", "minimum": 0, "description": "Time over which claims are gathered" },
            "claimDeadline": { "$ref": "#/definitions/Milliseconds", "description": "Time within which a claim must be recorded" },
            "settleDeadline": { "$ref": "#/definitions/Milliseconds", "description": "Time for which an outcome is offered to control" }
          }
        },
        "relay": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "stallTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Silence after which the engine is asked again" },
            "openTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Time an engine has to accept a request" },
            "silenceLimit": { "$ref": "#/definitions/Milliseconds", "description": "Silence after which a generation is given up" },
            "resumePause": { "type": "number", "minimum": 0, "description": "Pause before a resumption, times the number of tries" },
            "resumeGrace": { "$ref": "#/definitions/Milliseconds", "description": "Time a generation is kept for a caller that went away" },
            "resumeLimit": { "type": "integer", "minimum": 0, "description": "Resumptions without a token before an engine is given up" },
            "generationLimit": { "type": "integer", "minimum": 1, "description": "Generations of one request at most" }
          }
        },
        "headroom": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "reservedMemory": { "$ref": "#/definitions/Share", "description": "Share of an engine's memory kept from patient work" },
            "reservedSlots": { "$ref": "#/definitions/Share", "description": "Share of an engine's slots kept from patient work" },
            "deviations": { "type": "number", "minimum": 0, "maximum": 6, "description": "Standard deviations above the mean that the forecast of memory reckons with" }
          }
        },
        "coordination": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "groupSize": { "type": "integer", "minimum": 1, "description": "Engines that one entry coordinates at most" },
            "interval": { "$ref": "#/definitions/Milliseconds", "description": "Time between asks for a place, and between reports of progress" },
            "askTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Time a coordinator has to answer before an entry places alone" }
          }
        },
        "serviceTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Time a plain service has to answer" },
        "upstreamWait": { "$ref": "#/definitions/Milliseconds", "description": "Time a request waits for an upstream to announce itself" },
        "addressLife": { "$ref": "#/definitions/Milliseconds", "description": "Time for which callers may keep a list of addresses" }
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
        "operatorAddress": { "$ref": "#/definitions/Address", "description": "Where operators connect" },
        "peerAddress": { "$ref": "#/definitions/Address", "description": "Where other processes of the system connect" },
        "control": {
          "type": "array",
          "minItems": 1,
          "maxItems": 7,
          "items": { "$ref": "#/definitions/Address" },
          "description": "Peer addresses of every control VM, this one included"
        },
        "clusterKey": { "type": "string", "minLength": 16, "description": "Key that all processes of the system share" },
        "operatorKeyHash": { "$ref": "#/definitions/KeyHash", "description": "SHA-256 of the operators' key" },
        "dataFolder": { "type": "string", "minLength": 1, "description": "Folder for the agreed state, on a disk" },
        "logLevel": { "$ref": "#/definitions/LogLevel" },
        "metrics": { "$ref": "#/definitions/Metrics" },
        "timing": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "heartbeat": { "$ref": "#/definitions/Milliseconds", "description": "Time between the leader's heartbeats" },
            "electionTimeout": { "$ref": "#/definitions/Milliseconds", "description": "Silence of the leader after which another is elected" },
            "leaseShare": { "$ref": "#/definitions/Share", "description": "Share of the election timeout that a leader trusts" },
            "snapshotEvery": { "type": "integer", "minimum": 1, "description": "Log entries between snapshots" },
            "snapshotPieceLength": { "type": "integer", "minimum": 1024, "description": "Characters of a snapshot in one message" },
            "appendLimit": { "type": "integer", "minimum": 1, "description": "Log entries in one message" }
          }
        },
        "limits": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "changeIdLife": { "$ref": "#/definitions/Milliseconds", "description": "Time for which a change id gets its first answer again" },
            "claimLife": { "$ref": "#/definitions/Milliseconds", "description": "Time for which a claim is kept" },
            "claimsPerAccount": { "type": "integer", "minimum": 1, "description": "Claims kept for one client account" },
            "tombstones": { "type": "integer", "minimum": 1, "description": "Deleted objects remembered for partial pulls" },
            "finishedOrders": { "type": "integer", "minimum": 0, "description": "Finished orders remembered" },
            "quarantined": { "type": "integer", "minimum": 1, "description": "Contents kept from upstreams at once" }
          }
        },
        "orders": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "longestFlight": { "$ref": "#/definitions/Milliseconds", "description": "Longest time an order can be on its way" },
            "weightLoadsPerMinute": { "type": "integer", "minimum": 1, "description": "Weight loads that the weight store allows" },
            "pumpInterval": { "$ref": "#/definitions/Milliseconds", "description": "Time between looks at the open orders" },
            "attempts": { "type": "integer", "minimum": 1, "description": "Tries after which an order has failed" }
          }
        },
        "entryLease": { "$ref": "#/definitions/Milliseconds", "description": "Silence after which an entry no longer counts" }
      }
    }
  }
};
