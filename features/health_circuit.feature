Feature: Circuit breakers of back ends

  Guards against circuits that open or close too early, against openings that grow without bound,
  against a pool without any admitted back end, and against leaving back ends that get new work.

  # Events: S success, F failure, T timeout, P failed probe, p answered probe, W wrong answer,
  # R restart, +n waits n seconds. Other events are 0.1 s apart.
  Scenario Outline: The state after a sequence of events
    Given a healthy circuit
    When the circuit goes through <events>
    Then the circuit is <state>

    Examples: failures of requests
      | events          | state     |
      | F F             | closed    |
      | F F F           | open      |
      | F F S F F       | closed    |
      | F F F S         | open      |
      | F F F +2        | half_open |
      | F F F +2 p      | half_open |
      | F F F +2 S      | closed    |
      | F F F +2 F      | open      |

    Examples: failure rate
      | events                                          | state  |
      | T T T T T T T T                                 | closed |
      | T T T T T T T T T                               | open   |
      | S T S T S T S T S T                             | open   |
      | S S T S S T S S T S S T S S T S S T             | closed |
      | T T T T T +60 S S S S S S S S S S T             | closed |

    Examples: probes
      | events       | state     |
      | P            | closed    |
      | P p P        | closed    |
      | P P          | open      |
      | P P +2       | half_open |
      | P P +2 p     | closed    |
      | P P +2 P     | open      |

    Examples: wrong answers
      | events     | state       |
      | W          | quarantined |
      | W S p      | quarantined |
      | W +20      | quarantined |
      | W +40      | half_open   |
      | W +40 p    | half_open   |
      | W +40 S    | closed      |
      | W +40 W    | quarantined |
      | W +40 W +50 | quarantined |
      | W R        | half_open   |

    Examples: restarts and flapping
      | events              | state     |
      | F F F R             | closed    |
      | R R                 | closed    |
      | R R R               | open      |
      | R R R +6 p          | closed    |
      | R R +400 R          | closed    |
      | F F F +2 S F F F    | open      |

  Scenario Outline: The open time doubles with each consecutive opening, up to a bound
    Given a circuit that has opened <times> times in a row
    Then the last opening lasts between <shortest> and <longest> seconds

    Examples:
      | times | shortest | longest |
      | 1     | 0.8      | 1.2     |
      | 2     | 1.6      | 2.4     |
      | 5     | 12.8     | 19.2    |
      | 12    | 48       | 72      |

  Scenario Outline: After a long healthy time the next opening is the shortest again
    Given a circuit that has opened 5 times in a row and was then healthy for <healthy> seconds
    When the circuit goes through F F F
    Then the last opening lasts between <shortest> and <longest> seconds

    Examples:
      | healthy | shortest | longest |
      | 100     | 25.6     | 38.4    |
      | 301     | 0.8      | 1.2     |

  Scenario Outline: The share of work grows gradually after recovery
    Given a healthy circuit
    When the circuit goes through F F F +2 S +<waited>
    Then the circuit's share of work is <weight>

    Examples:
      | waited | weight |
      | 0      | 0.1    |
      | 5      | 0.55   |
      | 10     | 1      |

  Scenario Outline: Open circuits never leave a pool without back ends
    Given a pool of <members> back ends of which <open> are open, <quarantined> quarantined and <leaving> leaving
    Then <working> back ends get their full share of work and <readmitted> the smallest share
    And no leaving back end gets work, and no quarantined one while an open one gets none

    Examples:
      | members | open | quarantined | leaving | working | readmitted |
      | 6       | 0    | 0           | 0       | 6       | 0          |
      | 6       | 3    | 0           | 0       | 3       | 0          |
      | 6       | 4    | 0           | 0       | 2       | 1          |
      | 6       | 6    | 0           | 0       | 0       | 3          |
      | 6       | 2    | 2           | 0       | 2       | 1          |
      | 6       | 0    | 6           | 0       | 0       | 3          |
      | 6       | 2    | 0           | 4       | 0       | 1          |
      | 1       | 1    | 0           | 0       | 0       | 1          |
      | 2       | 0    | 0           | 2       | 0       | 0          |

  # Events: the machine list lists or unlists the back end as leaving; run n itself reports or refuses
  # as leaving; run n is observed.
  Scenario Outline: A back end stays leaving until a new run is observed
    Given a back end with the known run 1
    When <events> are received
    Then the back end is <state>

    Examples:
      | events                        | state   |
      | report 1                      | leaving |
      | refuse 1                      | leaving |
      | list                          | leaving |
      | report 1, run 1               | leaving |
      | report 1, run 2               | staying |
      | refuse 1, unlist              | leaving |
      | list, unlist                  | leaving |
      | list, unlist, wait 59         | leaving |
      | list, unlist, wait 61         | staying |
      | list, unlist, run 2           | staying |
      | list, run 2                   | leaving |
      | list, run 2, unlist           | staying |
      | list, refuse 1, unlist, wait 61 | leaving |
      | report 2, run 2, run 1        | leaving |
      | report 1, report 2, run 2     | leaving |
