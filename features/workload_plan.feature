Feature: Seeded workloads of both deployments
  Guards against workloads that cannot be repeated, or that lack the long shared prefixes, the skew,
  the bursts and the retries on which the experiments depend.

  Scenario Outline: A seed determines the plan
    Given the "<shape>" workload planned for 300 s with seed 7
    When it is planned again with seed <seed>
    Then the two workload plans are <relation>

    Examples:
      | shape    | seed | relation  |
      | yearbook | 7    | equal     |
      | yearbook | 8    | different |
      | racing   | 7    | equal     |
      | racing   | 8    | different |

  Scenario Outline: Prompts are long and share nested prefixes, but never across tenants
    Given the "<shape>" workload planned for 300 s with seed 7
    When the prompts of the workload plan are made
    Then each prompt has at least 20000 bytes and one in 50 has over 40000
    And prompts share exactly the sections that their paths share

    Examples:
      | shape    |
      | yearbook |
      | racing   |

  Scenario Outline: A few tenants and prefixes get most requests, and the hot prefixes change
    Given the "<shape>" workload planned for 300 s with seed 7
    When the workload plan is counted by tenant and section
    Then the largest tenant sends at least twice the share of an even split
    And the hottest section of the largest tenant changes between hot set epochs

    Examples:
      | shape    |
      | yearbook |
      | racing   |

  Scenario: Arrivals follow the daily curve and bursts, independent of answers
    Given arrivals at 20 a second with swing 0.5 over days of 400 s and a burst of factor 3 from 250 s to 270 s
    When arrivals are drawn for 400 s with seed 3
    Then the arrivals of each phase are within 10 percent of the integrated rate
      | from | to  | expected |
      | 0    | 100 | 2637     |
      | 100  | 200 | 2637     |
      | 200  | 250 | 813      |
      | 250  | 270 | 717      |
      | 300  | 400 | 1363     |

  Scenario Outline: Impatient callers retry changes with the same key and a new request id
    Given the "<shape>" workload planned for 300 s with seed 7
    When the retries of the workload plan are matched with their first requests
    Then at least 20 changes are retried later with the same key, tenant and body
    And every change has a key and no read has one

    Examples:
      | shape    |
      | yearbook |
      | racing   |

  Scenario: Prompts of all tenants share a common start if the workload sets one
    Given the "yearbook" workload with 2048 common bytes planned for 60 s with seed 7
    When the prompts of the workload plan are made
    Then prompts of different tenants share exactly 2048 bytes after the role
