Feature: Admission on one node
  Guards against unfair shares and starvation among tenants, callers that wait although they cannot
  start before their deadline, and permits that are lost or counted twice when callers disconnect.

  Scenario Outline: Tenants share a saturated node by <rule>
    Given a node with 4 permits that are each held for 0.1 seconds
    When tenant "a" with priority <priority a> and weight <weight a> competes with "b" of priority <priority b> and weight <weight b> for 30 seconds
    Then tenant "a" gets between <least> and <most> times as many permits as "b"

    Examples:
      | rule     | priority a | weight a | priority b | weight b | least | most |
      | equality | 10         | 1.0      | 10         | 1.0      | 0.9   | 1.1  |
      | weight   | 10         | 3.0      | 10         | 1.0      | 2.7   | 3.3  |
      | priority | 5          | 1.0      | 10         | 1.0      | 2.0   | 99.0 |

  Scenario: Ageing prevents starvation of the lowest priority
    Given a node with 1 permits that are each held for 0.1 seconds
    When one request of priority 10 waits behind a steady flood of priority 1
    Then it is admitted within 45 seconds

  Scenario Outline: A request that cannot start in time is refused with <code> when <case>
    Given a node with 2 permits that are each held for 1.0 seconds
    When <case>
    Then the last caller gets "<code>" after <after> seconds, as not run and with a time to retry

    Examples:
      | case                                             | code              | after |
      | the queue is longer than the deadline allows     | overloaded        | 0.0   |
      | the tenant's rate cannot admit it in time        | tenant_limit      | 0.0   |
      | the tenant's concurrency cannot admit it in time | tenant_limit      | 0.0   |
      | it is queued and no permit comes back            | deadline_exceeded | 2.0   |

  Scenario: Disconnected callers give back their queue places and permits
    Given a node with 1 permits that are each held for 0.1 seconds
    When callers disconnect while waiting and just as they are admitted, and a permit is released twice
    Then the next two callers run one after the other
