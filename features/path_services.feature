Feature: A service request is passed through whole, and one that may not be repeated runs once

  Scenario Outline: <method> of an order when the first back end is <failures> <failure>
    Given two print shops whose first fails as "<failure>" <failures> times
    When an order is sent by <method>
    Then the order ends as "<outcome>" after <runs> runs
    And the books of the service path are balanced

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
    Given two print shops that need 60 seconds
    When an order is sent by POST
    Then the order ends as "deadline_exceeded unknown" after 1 runs
    And the books of the service path are balanced

  Scenario: No back end is left
    Given two print shops that are both unreachable
    When an order is sent by POST
    Then the order ends as "no_backend not_run" after 0 runs
    And the books of the service path are balanced

  Scenario Outline: A second order with the same key after <first>
    Given two print shops whose first fails as "<first>" 1 times
    When an order is sent by POST with key "k1"
    And an order is sent by POST with key "k1"
    Then the order ends as "<second>" after <runs> runs

    Examples: what ran is answered again or refused as run; what may have run is refused as unknown
      | first  | second                    | runs |
      | none   | 201                       | 1    |
      | broken | duplicate_request unknown | 1    |

  Scenario: A key whose order provably did not run may be used again
    Given two print shops that are both unreachable
    When an order is sent by POST with key "k1"
    And both print shops come back
    And an order is sent by POST with key "k1"
    Then the order ends as "201" after 1 runs

  Scenario: A key used for another order is a conflict
    Given two print shops that need 0 seconds
    When an order is sent by POST with key "k1"
    And another order is sent by POST with key "k1"
    Then the order ends as "duplicate_request not_run" after 1 runs

  Scenario: An answer that is given again says so
    Given two print shops that need 0 seconds
    When an order is sent by POST with key "k1"
    And an order is sent by POST with key "k1"
    Then the answer is marked as given again

  Scenario: A second order while the first runs
    Given two print shops that need 5 seconds
    When two orders are sent at once with key "k1"
    Then one order ends as "201" and the other as "duplicate_request unknown" after 1 runs

  Scenario: A caller that leaves does not leave an order's claim in doubt
    Given two print shops that need 5 seconds
    When the caller of an order with key "k1" leaves after 1 seconds
    And an order is sent by POST with key "k1"
    Then the order ends as "201" after 1 runs

  Scenario: The back end sees the order whole, without the caller's key to the router
    Given two print shops that need 0 seconds
    When an order is sent by POST with key "k1"
    Then the print shop was sent the order whole

  Scenario Outline: A node that is <state> refuses
    Given two print shops that need 0 seconds
    And the node is <state>
    When an order is sent by POST
    Then the order ends as "<outcome>" after 0 runs

    Examples:
      | state           | outcome                |
      | draining        | draining not_run       |
      | not configured  | not_configured not_run |

  Scenario Outline: A node that has just started waits a moment for its configuration
    Given two print shops that need 0 seconds
    And the node hears its configuration <after> seconds after the order came
    When an order is sent by POST
    Then the order ends as "<outcome>" after <runs> runs

    Examples:
      | after | outcome                | runs |
      | 0.1   | 201                    | 1    |
      | 0.9   | 201                    | 1    |
      | 1.1   | not_configured not_run | 0    |

  Scenario: A drain waits for the running order
    Given two print shops that need 5 seconds
    When a drain begins 1 seconds after an order
    Then the order ends as "201" after 1 runs
    And the drain ended after 5 seconds

  Scenario: Operators see health, readiness, models and metrics
    Given two print shops that need 0 seconds
    When an order is sent by POST
    Then "/healthz" answers 200 with "ok"
    And "/readyz" answers 200 with "ready"
    And "/v1/models" answers 200 with "qalam:amharic"
    And "/metrics" answers 200 with "code="ok",kind="service",run_status="ran"} 1.0"

  Scenario: Each event is one line of key=value pairs
    Then an event with a line break in a value is rendered as one line
