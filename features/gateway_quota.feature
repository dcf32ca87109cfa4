Feature: Tenants' quotas hold over all nodes despite partitions, suspensions and restarts

  Maximum usage in any window of 8 seconds: (rate x 8 s + burst) x 1.1 + 110,000 tokens.

  Scenario Outline: A tenant with <rate> tokens a second sends <times> times its usual load through <where> of <nodes> nodes
    Given <nodes> nodes in 3 zones and a tenant with <rate> tokens a second and a burst of <burst>
    When it sends <times> times its usual load through <where>
    Then usage exceeds the maximum in no window
    And no request was refused before the load increased
    And under the load it uses between <least> and 1.1 of what each window allows
    And its urgent requests are admitted more than twice as often as the others

    Examples:
      | nodes | rate   | burst  | times | where     | least |
      | 8     | 29000  | 69000  | 7.5   | all nodes | 0.95  |
      | 8     | 150000 | 150000 | 7.5   | one node  | 0.95  |
      | 79    | 29000  | 69000  | 7.5   | all nodes | 0.85  |
      | 79    | 29000  | 69000  | 7.5   | one node  | 0.85  |
      | 79    | 150000 | 150000 | 7.5   | all nodes | 0.85  |
      | 79    | 150000 | 150000 | 7.5   | one node  | 0.85  |

  Scenario Outline: No quota is regained when <disruption>, over <nodes> nodes
    Given <nodes> nodes in 3 zones and a tenant with <rate> tokens a second and a burst of <burst>
    When it sends 7.5 times its usual load to all nodes while "<disruption>"
    Then usage exceeds the maximum in no window
    And the tenant's requests are admitted afterwards

    Examples:
      | disruption                                   | nodes | rate   | burst  |
      | all nodes are killed and restart             | 8     | 29000  | 69000  |
      | all nodes are killed and restart             | 79    | 150000 | 150000 |
      | nodes are killed repeatedly                  | 79    | 29000  | 69000  |
      | every group head is suspended for 8 s        | 79    | 29000  | 69000  |
      | a third of the nodes are suspended for 8 s   | 8     | 150000 | 150000 |
      | a third of the nodes are cut off together    | 8     | 29000  | 69000  |
      | a third of the nodes are cut off together    | 79    | 29000  | 69000  |
      | a third of the nodes are cut off, each alone | 8     | 150000 | 150000 |
      | a third of the nodes are cut off, each alone | 79    | 29000  | 69000  |
      | a third of the nodes are cut off, each alone | 79    | 150000 | 150000 |

  Scenario Outline: A rate that is lowered <when> applies one window later
    Given <nodes> nodes in 3 zones and a tenant with 90000 tokens a second and a burst of 90000
    When it sends its usual load and its rate is lowered to 15000 tokens a second <when>
    Then usage exceeds the lower maximum in no window that begins after all nodes have applied it

    Examples:
      | nodes | when                             |
      | 8     | while all nodes are in contact   |
      | 79    | while all nodes are in contact   |
      | 8     | while a third is cut off         |
      | 79    | while a third is cut off         |
      | 79    | shortly after it was raised      |

  Scenario Outline: A tenant over its quota causes no refusals of other tenants, over <nodes> nodes
    Given <nodes> nodes in 3 zones and 6 tenants of which the first sends 7.5 times its usual load
    Then no request of the other tenants is refused

    Examples:
      | nodes |
      | 8     |
      | 79    |

  Scenario Outline: A node that <event> begins without burst and admits the rate from then on
    Given a single node and a tenant with 30000 tokens a second and a burst of 90000
    When it <event>
    Then of 20 requests of 9000 tokens at once none is admitted
    And 10 seconds later 8 to 10 of 20 are admitted

    Examples:
      | event                                    |
      | starts                                   |
      | is suspended for 8 s with a full bucket  |

  Scenario: Of requests with the same cost the more urgent are admitted first
    Given 8 nodes in 3 zones and a tenant with 29000 tokens a second and a burst of 69000
    When half of its requests are urgent, all cost 900 tokens, and it sends 4 times its usual load
    Then its urgent requests are admitted more than twice as often as the others

  Scenario Outline: The cost of a request
    Given a tenant's quota that counts <unit>, with 200 for a request that names no tokens
    Then a request that names <named> costs <cost>

    Examples:
      | unit     | named   | cost |
      | tokens   | 1460,80 | 1540 |
      | tokens   | nothing | 200  |
      | tokens   | x,80    | 200  |
      | requests | 1460,80 | 1    |
      | requests | nothing | 1    |

  Scenario Outline: A quota in the operators' configuration: <fields>
    Given a tenant that is configured with <fields>
    Then its quota is <quota>

    Examples:
      | fields                                                                        | quota                   |
      | {}                                                                            | none                    |
      | {"rate_per_s": 0, "burst": 100}                                               | none                    |
      | {"rate_per_s": 5}                                                             | 5 requests/s, burst 0   |
      | {"rate_per_s": 5, "burst": 9, "unit": "other"}                                | 5 requests/s, burst 9   |
      | {"rate_per_s": 900, "burst": 70, "unit": "token_stream", "uncached_tokens": 200} | 900 tokens/s, burst 70 |

  Scenario: A request over the quota is refused and not run, with the time when it would be admitted
    Given a gateway whose tenant may spend 1000 tokens a second and a burst of 3000
    When 10 requests of 1020 tokens arrive at once after 5 seconds
    Then 2 or 3 are answered, and the others get 429 with a Retry-After between 0.05 and 15 seconds
    And no back end ran a refused request
    And the log lines of the refusals give cost, remaining quota, share and age
    And the metrics count the refusals for the tenant

  Scenario: A request that costs more than the quota ever holds is refused without a Retry-After
    Given a gateway whose tenant may spend 10 tokens a second and a burst of 100
    When 1 requests of 1020 tokens arrive at once after 5 seconds
    Then it gets 429 without a Retry-After

  Scenario: The cost of a request that provably was not run is refunded
    Given a gateway whose tenant may spend 1000 tokens a second and a burst of 3000
    And its back ends refuse every request with proof that it was not run
    When 6 requests of 1020 tokens arrive one after the other after 5 seconds
    Then none of them gets 429

  Scenario: Other tenants are not limited
    Given a gateway whose tenant may spend 10 tokens a second and a burst of 100
    When 5 requests of another tenant without a quota arrive
    Then every one of them is answered
