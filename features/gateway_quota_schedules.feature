Feature: Tenants' quotas hold under random schedules, and at the largest intended size

  Scenario: 50 schedules of load, kills, suspensions and partitions
    Then in 50 random schedules over 6 to 40 nodes usage exceeds the maximum in no window

  Scenario: Gossip about 290 tenants over 400 nodes stays within its byte rate
    Given 400 nodes in 18 zones and 290 tenants of which each sends its usual load
    Then nodes other than group heads send on average at most 5000 bytes a second about quotas
