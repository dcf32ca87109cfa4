Feature: A node's settings file

  Guards against settings that are silently ignored, and against a wrong file that stops a node with
  a traceback instead of one line that names the field and the remedy.

  Scenario: Flags take precedence over the file
    Given a settings file with zone "bole-hall" and caller port 7001
    When the settings are loaded with caller port 7002 as a flag
    Then the node settings have zone "bole-hall" and caller port 7002

  Scenario Outline: The error for invalid settings names the field or the remedy
    Given a settings file with the text "<text>"
    When the settings are loaded without flags
    Then loading fails with a line about "<about>"

    Examples:
      | text                                                              | about                   |
      | zone: [                                                           | correct the YAML        |
      | just words                                                        | one `field: value`      |
      | {zone: a, peer_keys: []}                                          | give at least one key   |
      | {zone: a, colour: b, peer_keys: [{key_id: 1, secret: sixteen-letters!}]}         | known fields are        |
      | {peer_keys: [{key_id: 1, secret: sixteen-letters!}]}                             | zone                    |
      | {zone: a, host: example, peer_keys: [{key_id: 1, secret: sixteen-letters!}]}     | is not an IP number     |
      | {zone: a, peer_port: 70000, peer_keys: [{key_id: 1, secret: sixteen-letters!}]}  | 70000 is no port        |
      | {zone: a, seeds: ["1.2.3.4"], peer_keys: [{key_id: 1, secret: sixteen-letters!}]} | has no valid port      |
      | {zone: a, peer_keys: [{key_id: 1, secret: short}]}                | give 16 to 64 characters |
      | {zone: a, peer_keys: [{key_id: 300, secret: sixteen-letters!}]}   | use 0 to 255            |

  Scenario: The error for a missing settings file is one line, not a traceback
    When settings are loaded from a file that does not exist
    Then loading fails with a line about "check the path"
