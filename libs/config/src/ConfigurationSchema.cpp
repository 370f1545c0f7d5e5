#include "ConfigurationSchema.h"

namespace vanillayard {

const char ConfigurationSchemaText[] = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["generation", "preset_in_force", "accounts", "kinds",
               "presets"],
  "properties": {
    "generation": {"type": "integer", "minimum": 1,
                   "maximum": 9007199254740991, "x-unit": "accepted changes"},
    "preset_in_force": {"type": "string", "x-rule": "the name of a preset"},
    "accounts": {
      "type": "array", "minItems": 1, "maxItems": 1000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"type": "string",
            "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
            "x-rule": "a name of 1 to 63 letters, digits, '.', '_' or '-'"},
          "weight": {"type": "number", "minimum": 0.001, "maximum": 1000,
                     "x-unit": "times the weight of an ordinary account"},
          "accelerator_quota": {"type": "integer", "minimum": 0,
                                "maximum": 100000, "x-unit": "accelerators"},
          "max_queued": {"type": "integer", "minimum": 1, "maximum": 1000000,
                         "x-unit": "requests"},
          "guarantees": {
            "type": "array", "minItems": 0, "maxItems": 100,
            "items": {
              "type": "object",
              "additionalProperties": false,
              "required": ["data_centre", "count"],
              "properties": {
                "data_centre": {"type": "string",
                  "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
                  "x-rule":
                    "a name of 1 to 63 letters, digits, '.', '_' or '-'"},
                "accelerators_per_cell": {"type": "integer",
                  "enum": [1, 2, 4, 8], "x-unit": "accelerators"},
                "workers": {"type": "integer", "minimum": 1, "maximum": 64,
                            "x-unit": "workers"},
                "count": {"type": "integer", "minimum": 1, "maximum": 10000,
                          "x-unit": "cells"}
              }
            }
          }
        }
      }
    },
    "kinds": {
      "type": "array", "minItems": 1, "maxItems": 100,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "urgency"],
        "properties": {
          "name": {"type": "string",
            "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
            "x-rule": "a name of 1 to 63 letters, digits, '.', '_' or '-'"},
          "urgency": {"type": "string",
                      "enum": ["urgent", "normal", "deferrable"]},
          "default_deadline_ms": {"type": "integer", "minimum": 10,
                                  "maximum": 604800000, "x-unit": "ms"},
          "repeatable_by_default": {"type": "boolean"}
        }
      }
    },
    "presets": {
      "type": "array", "minItems": 1, "maxItems": 20,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"type": "string",
            "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
            "x-rule": "a name of 1 to 63 letters, digits, '.', '_' or '-'"},
          "kind_weights": {
            "type": "object",
            "additionalProperties": {
              "type": "number", "minimum": 0.001, "maximum": 1000,
              "x-unit": "times the weight of an ordinary kind"}
          },
          "urgent_reserve": {"type": "number", "minimum": 0, "maximum": 0.5,
                             "x-unit": "of the slots"},
          "borrowing": {"type": "boolean"},
          "spill_over": {"type": "boolean"},
          "admit_deferrable": {"type": "boolean"}
        }
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "max_body_bytes": {"type": "integer", "minimum": 1024,
                           "maximum": 67108864, "x-unit": "bytes"},
        "max_queued": {"type": "integer", "minimum": 1, "maximum": 1000000,
                       "x-unit": "requests"},
        "retry_budget": {"type": "number", "minimum": 0, "maximum": 1,
                         "x-unit": "retries per success"},
        "reclaim_grace_ms": {"type": "integer", "minimum": 0,
                             "maximum": 600000, "x-unit": "ms"},
        "max_gang_wait_ms": {"type": "integer", "minimum": 1000,
                             "maximum": 86400000, "x-unit": "ms"}
      }
    }
  }
})json";

const char SettingsSchemaText[] = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "data_centre", "region", "listen", "platform"],
  "properties": {
    "host": {"type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
      "x-rule": "a name of 1 to 63 letters, digits, '.', '_' or '-'"},
    "data_centre": {"type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
      "x-rule": "a name of 1 to 63 letters, digits, '.', '_' or '-'"},
    "region": {"type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
      "x-rule": "a name of 1 to 63 letters, digits, '.', '_' or '-'"},
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["caller", "admin", "peer"],
      "properties": {
        "caller": {"type": "string",
          "x-rule": "an IP address and port from 0 to 65535"},
        "admin": {"type": "string",
          "x-rule": "an IP address and port from 0 to 65535"},
        "peer": {"type": "string",
          "x-rule": "an IP address and port from 0 to 65535"}
      }
    },
    "peer_advertise": {"type": "string",
      "x-rule": "an IP address and port from 1 to 65535"},
    "seed_peers": {
      "type": "array", "minItems": 0, "maxItems": 1000,
      "items": {"type": "string",
        "x-rule": "an IP address and port from 1 to 65535"}
    },
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": ["key_value", "host_list"],
      "properties": {
        "key_value": {"type": "string",
          "x-rule": "an IP address and port from 1 to 65535"},
        "host_list": {"type": "string",
          "x-rule": "an IP address and port from 1 to 65535"},
        "timeout_ms": {"type": "integer", "minimum": 10, "maximum": 60000,
                       "x-unit": "ms"},
        "host_list_interval_ms": {"type": "integer", "minimum": 100,
                                  "maximum": 600000, "x-unit": "ms"}
      }
    },
    "budgets": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "control_bytes_per_second": {"type": "integer", "minimum": 256,
          "maximum": 1048576, "x-unit": "bytes per second"}
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "max_body_bytes": {"type": "integer", "minimum": 1024,
                           "maximum": 67108864, "x-unit": "bytes"},
        "request_timeout_ms": {"type": "integer", "minimum": 100,
                               "maximum": 600000, "x-unit": "ms"},
        "shutdown_grace_ms": {"type": "integer", "minimum": 0,
                              "maximum": 600000, "x-unit": "ms"},
        "lease_ttl_ms": {"type": "integer", "minimum": 1000,
                         "maximum": 60000, "x-unit": "ms"},
        "poll_interval_ms": {"type": "integer", "minimum": 50,
                             "maximum": 60000, "x-unit": "ms"},
        "spill_over_delay_ms": {"type": "integer", "minimum": 0,
                                "maximum": 600000, "x-unit": "ms"}
      }
    },
    "policy": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "queue": {"type": "string", "enum": ["weighted_fair", "fifo"]},
        "worker_selection": {"type": "string",
                             "enum": ["power_of_two", "random"]},
        "placement": {"type": "string", "enum": ["cells", "first_fit"]},
        "retry": {"type": "string", "enum": ["budget", "unlimited"]}
      }
    },
    "log_level": {"type": "string",
                  "enum": ["debug", "info", "warning", "error"]}
  }
})json";

} // namespace vanillayard
