Feature: Differences between deployments are shown as plans and sent as deltas
  Guards against a plan that hides or misstates a change, and against a delta or stored value that
  gives another deployment than the one that was applied, raises, or is too large to send.

  Scenario Outline: A plan lists what an edit changes
    Given the shipped deployment "tsehay"
    When the deployment text "<old>" becomes "<new>"
    Then the configuration plan is "<plan>"

    Examples:
      | old                     | new                     | plan                                              |
      | weight_version: "2026.1" | weight_version: "2026.2" | ~ models qalam: weight_version 2026.1 → 2026.2  |
      | name: qalam-6           | name: qalam-7           | - engines qalam-6 and + engines qalam-7           |
      | tail_weight: 0.5        | tail_weight: 1          | ~ routing: tail_weight 0.5 → 1                    |
      | drain_timeout_s: 120    | drain_timeout_s: 60     | ~ drain_timeout_s: value 120 → 60                 |
      | format: 1               | # Comment\nformat: 1    | no change                                         |

  Scenario: Any delta gives exactly the later deployment, also after encoding
    When deltas between many pairs of generated deployments are encoded, decoded and applied
    Then each result has the later deployment's content and digest, and reuses unchanged items

  Scenario: The order of items in the file has no effect
    Then a deployment with every list reversed has the same canonical form and digest

  Scenario Outline: Invalid stored bytes are refused without an exception
    When the stored form of a deployment is <damage>
    Then decoding it fails saying "<message>"

    Examples:
      | damage                  | message                |
      | cut in half             | cut short or too large |
      | not compressed          | error                  |
      | of a newer format       | stored format 2        |
      | missing a field         | regions                |
      | a bomb of 100 megabytes | cut short or too large |

  Scenario: A change is small at the design size
    Given a deployment of 1700 engines and 290 tenants
    Then its whole encoding is below 64000 bytes and the delta of one new weight version below 300
