Feature: Admission on one node
  Scenario Outline: Tenants share a saturated node by <rule>
    Given a node with 4 permits that are each held for 0.1 seconds
    When tenant "a" with priority <priority a> and weight <weight a> competes with "b" of priority <priority b> and weight <weight b> for 30 seconds
    Then tenant "a" gets between <least> and <most> times as many permits as "b"

    Examples:
      | rule     | priority a | weight a | priority b | weight b | least | most |
      | equality | 10         | 1.0      | 10         | 1.0      | 0.9   | 1.1  |
      | weight   | 10         | 3.0      | 10         | 1.0      | 2.7   | 3.3  |
      | priority | 5          | 1.0      | 10         | 1.0      | 2.0   | 99.0 |

  Scenario: Ageing keeps the lowest priority from starving
    Given a node with 1 permits that are each held for 0.1 seconds
    When one request of priority 10 waits behind a steady flood of priority 1
    Then it is admitted within 45 seconds

  Scenario Outline: A request that cannot start in time is <told> when <case>
    Given a node with 2 permits that are each held for 1.0 seconds
    When <case>
    Then the last caller is told "<told>" after <after> seconds, not run, with a time to come back

    Examples:
      | case                                             | told              | after |
      | the queue is longer than the deadline allows     | overloaded        | 0.0   |
      | the tenant's rate cannot admit it in time        | tenant_limit      | 0.0   |
      | the tenant's concurrency cannot admit it in time | tenant_limit      | 0.0   |
      | it is queued and no permit comes back            | deadline_exceeded | 2.0   |

  Scenario: Callers that leave give their places and permits back
    Given a node with 1 permits that are each held for 0.1 seconds
    When callers leave while waiting and just as they are admitted, and a permit is released twice
    Then the next two callers run one after the other
