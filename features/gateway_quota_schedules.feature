Feature: Tenants' quotas hold under drawn schedules, and at the size designed for

  Scenario: 50 schedules of load, kills, freezes, cuts and changed limits
    Then in 50 drawn schedules over 6 to 40 nodes no window holds more than the rule allows

  Scenario: 290 tenants over 400 nodes cost what control may cost
    Given 400 nodes in 18 zones and 290 tenants of which each sends its usual
    Then a node that is no head sends at most 5000 bytes a second about quotas
