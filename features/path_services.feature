Feature: A service request is forwarded unchanged, and a request that is not repeatable runs at most once

  Guards against a second run of a POST after an ambiguous failure, against idempotency keys that
  stay blocked or run twice, and against permits and choices that are not released. The service
  prints orders; its back ends are two print shops.

  Scenario Outline: <method> of an order when the first back end fails <failures> times with <failure>
    Given two print shops, the first of which fails <failures> times with "<failure>"
    When an order is sent by <method>
    Then the order ends as "<outcome>" after <runs> runs
    And the service path holds nothing for the request

    Examples:
      | method | failure     | failures | outcome                | runs |
      | GET    | none        | 0        | 201                    | 1    |
      | GET    | unreachable | 1        | 201                    | 1    |
      | GET    | broken      | 1        | 201                    | 2    |
      | GET    | timed_out   | 1        | 201                    | 2    |
      | GET    | corrupt     | 1        | 201                    | 2    |
      | POST   | none        | 0        | 201                    | 1    |
      | POST   | unreachable | 1        | 201                    | 1    |
      | POST   | broken      | 1        | backend_failed unknown | 1    |
      | POST   | timed_out   | 1        | backend_failed unknown | 1    |
      | POST   | corrupt     | 1        | backend_failed unknown | 1    |

  Scenario: A back end that never answers ends at the deadline
    Given two print shops that need 60 seconds per order
    When an order is sent by POST
    Then the order ends as "deadline_exceeded unknown" after 1 runs
    And the service path holds nothing for the request

  Scenario: All back ends are unreachable
    Given two unreachable print shops
    When an order is sent by POST
    Then the order ends as "no_backend not_run" after 0 runs
    And the service path holds nothing for the request

  Scenario Outline: A second order with the same key after the first order's failure <first>
    Given two print shops, the first of which fails 1 times with "<first>"
    When an order is sent by POST with key "k1"
    And an order is sent by POST with key "k1"
    Then the order ends as "<second>" after <runs> runs

    Examples: a completed order's answer is replayed; an order that may have run is refused with status unknown
      | first  | second                    | runs |
      | none   | 201                       | 1    |
      | broken | duplicate_request unknown | 1    |

  Scenario: A key whose order provably did not run may be used again
    Given two unreachable print shops
    When an order is sent by POST with key "k1"
    And both print shops are reachable again
    And an order is sent by POST with key "k1"
    Then the order ends as "201" after 1 runs

  Scenario: A key used for another order is a conflict
    Given two print shops that need 0 seconds per order
    When an order is sent by POST with key "k1"
    And another order is sent by POST with key "k1"
    Then the order ends as "duplicate_request not_run" after 1 runs

  Scenario: A replayed answer is marked as replayed
    Given two print shops that need 0 seconds per order
    When an order is sent by POST with key "k1"
    And an order is sent by POST with key "k1"
    Then the answer is marked as replayed

  Scenario: A second order with the same key while the first runs
    Given two print shops that need 5 seconds per order
    When two orders are sent concurrently with key "k1"
    Then one order ends as "201" and the other as "duplicate_request unknown" after 1 runs

  Scenario: A caller that disconnects does not leave its key's claim unresolved
    Given two print shops that need 5 seconds per order
    When the caller of an order with key "k1" disconnects after 1 seconds
    And an order is sent by POST with key "k1"
    Then the order ends as "201" after 1 runs

  Scenario: The back end receives the complete order without the caller's API key
    Given two print shops that need 0 seconds per order
    When an order is sent by POST with key "k1"
    Then the print shop received the complete order without the API key

  Scenario Outline: A node that is <state> refuses an order
    Given two print shops that need 0 seconds per order
    And the node is <state>
    When an order is sent by POST
    Then the order ends as "<outcome>" after 0 runs

    Examples:
      | state           | outcome                |
      | draining        | draining not_run       |
      | not configured  | not_configured not_run |

  Scenario Outline: A newly started node waits up to a second for its configuration
    Given two print shops that need 0 seconds per order
    And the node receives its configuration <after> seconds after the order
    When an order is sent by POST
    Then the order ends as "<outcome>" after <runs> runs

    Examples:
      | after | outcome                | runs |
      | 0.1   | 201                    | 1    |
      | 0.9   | 201                    | 1    |
      | 1.1   | not_configured not_run | 0    |

  Scenario: A drain waits for the order in flight
    Given two print shops that need 5 seconds per order
    When a drain begins 1 seconds after an order
    Then the order ends as "201" after 1 runs
    And the drain ended after 5 seconds

  Scenario: Operators see health, readiness, models and metrics
    Given two print shops that need 0 seconds per order
    When an order is sent by POST
    Then "/healthz" answers 200 with "ok"
    And "/readyz" answers 200 with "ready"
    And "/v1/models" answers 200 with "qalam:amharic"
    And "/metrics" answers 200 with "code="ok",kind="service",run_status="ran"} 1.0"

  Scenario: Each log event is one line of key=value pairs
    Then an event with a line break in a value is rendered as one line
