Feature: The platform adapter translates between the platform's protocol and the gateway's ports
  The gateway would be bound to one platform if names of the platform's protocol occurred in the
  product. A wrong translation loses state, requests or idle connections without an error message.

  Scenario Outline: No name of the platform occurs outside the adapter
    Given the source files outside the adapter
    Then no source file contains "<name>"

    Examples:
      | name               |
      | x-attempt-id       |
      | x-response-seal    |
      | x-prefix-hash      |
      | x-token-usage      |
      | x-not-executed     |
      | x-cache-salt       |
      | x-kv-source        |
      | x-kv-target        |
      | x-expect-instance  |
      | x-instance-id      |
      | x-weight-versions  |
      | x-request-priority |
      | /v1/kv-            |
      | /v1/order          |
      | /v1/report         |
      | op/config          |
      | op/version         |
      | servers/           |
      | private_key        |
      | fence_token        |
      | weirscale_node_file |

  Scenario: The product does not import the adapter, and the adapter is small
    Given the source files outside the adapter
    Then no source file imports "weirscale_platform"
    And the adapter has fewer than 2500 lines

  Scenario: The adapter's folder does not shadow the standard module of the same name
    Then the module "platform" is that of the standard library

  Scenario Outline: An invalid settings file raises an error of one line with the remedy
    Given a settings file with "<change>"
    When the settings file is read
    Then the error contains "<problem>"

    Examples:
      | change                  | problem     |
      | no file                 | unreadable  |
      | no TOML                 | correct     |
      | without node_name       | node_name   |
      | without listen          | listen      |
      | a frontend without port | IP:PORT     |

  Scenario: Unknown fields are ignored, and bounds are converted to seconds
    Given a settings file with "fields of a later release"
    When the settings file is read
    Then the settings have a stop of 8 s, weights in 8 s, keys in 5 s and a retry budget of 0.2 and 54

  Scenario Outline: A store entry becomes a change, or a problem report that keeps the last state
    When the item "<key>" with "<value>" is read
    Then the resulting change is "<change>"

    Examples:
      | key          | value                                                              | change               |
      | op/config    | {"version":3}                                                      | ConfigurationChanged |
      | op/config    | {"version":"x"}                                                    | Unreadable           |
      | op/config    | {                                                                  | Unreadable           |
      | op/version/m | {"model":"m","version":2}                                          | TargetVersionChanged |
      | op/version/m | {"model":"m"}                                                      | Unreadable           |
      | servers/i-1  | {"service":"s","address":"10.0.0.1:1","zone":"z","version":"v","slots":1,"state":"ready"} | BackEndRegistered |
      | servers/i-1  | {"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready"}  | Unreadable           |
      | servers/i-1  | {"service":"s"}                                                    | Unreadable           |
      | servers/i-1  | gone                                                               | BackEndGone          |
      | weirscale/x  | anything                                                           | RecordChanged        |
      | other/x      | anything                                                           | nothing              |

  Scenario Outline: The prompt headers of a request are parsed
    When a request has the prompt headers "<model>", "<parts>", "<usage>"
    Then its prompt has <num> parts and <tokens> tokens

    Examples:
      | model | parts       | usage  | num | tokens |
      | m     | a:100,b:20  | 120,9  | 2   | 120    |
      | m     | a:100, b:20 | 120,9  | 2   | 120    |
      | m     | a           | 120,9  | 0   | 0      |
      | m     | a:100       | many   | 0   | 0      |
      |       | a:100       | 120,9  | 0   | 0      |
      | m     | a:-100      | 120,9  | 0   | 0      |
      | m     | a:100       | -120,9 | 0   | 0      |
      | m     | a:100       | 120,-9 | 0   | 0      |
      | m     | a:100       | 1e5,9  | 0   | 0      |
      | m     | a:100       | 99999999999999999999,9 | 1 | 10000000 |

  Scenario Outline: Idle connections to a runner are kept as long as its answers allow
    Given a runner whose answers have the Keep-Alive header "<header>"
    When two requests are sent to it, the second while the answer to the first is incomplete
    Then idle connections were kept for "<idle>" seconds, and each transport was closed after its last use

    Examples: nine seconds are assumed until an answer has the header
      | header            | idle |
      | none              | 9    |
      | timeout=10        | 9    |
      | timeout=60        | 9    |
      | timeout=5, max=5  | 9,4  |
      | Timeout=2         | 9,1  |
      | timeout=1         | 9,0  |
      | timeout=soon      | 9    |
      | max=5             | 9    |

  Scenario Outline: Idle connections are kept for a shorter time after <failure>
    Given a runner whose answers have the Keep-Alive header "none"
    When <count> requests to it end with "<failure>" and one is answered
    Then idle connections were kept for "<idle>" seconds, and each transport was closed after its last use

    Examples: a back end may drop an idle connection without closing it
      | failure        | count | idle              |
      | ReadError      | 1     | 9,4.5             |
      | WriteError     | 1     | 9,4.5             |
      | ReadError      | 6     | 9,4.5,2.25,1.125,1 |
      | ConnectError   | 2     | 9                 |
      | ConnectTimeout | 2     | 9                 |
      | ReadTimeout    | 2     | 9                 |
