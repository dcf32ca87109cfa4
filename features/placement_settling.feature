Feature: Loads in progress are settled only by proof
  Guards against a load slot that is freed while the load may still run, that is never freed, and
  against engines that are restored to a version that never served or has failed on them.

  Scenario Outline: Outcome of a load with token 7 in run 2, by the engine's version and token
    Given a load of v2 with token 7 on run 2 that is <age> s old and may take 300 s
    When the engine reports run <run>, version <version>, token <token> and leaving <leaving>
    Then the load is <outcome>

    Examples:
      | age | run | version | token | leaving | outcome  |
      | 10  | 2   | v2      | 7     | no      | finished |
      | 10  | 2   | v2      | 8     | no      | finished |
      | 10  | 2   | v2      | 6     | no      | loading  |
      | 10  | 2   | none    | 6     | no      | loading  |
      | 10  | 2   | v1      | 6     | no      | loading  |
      | 10  | 3   | v1      | 0     | no      | failed   |
      | 10  | 3   | v2      | 7     | no      | failed   |
      | 10  | 2   | none    | 6     | yes     | failed   |
      | 299 | 2   | none    | 6     | no      | loading  |
      | 300 | 2   | none    | 6     | no      | given up |

  Scenario Outline: Outcome of a load with token 7 in run 2, by the engine's report of loads
    Given a load of v2 with token 7 on run 2 that is 10 s old and may take 300 s
    When the engine reports run <run> without weights, loading <loading> and failed <failed>
    Then the load is <outcome>

    Examples:
      | run | loading | failed | outcome |
      | 2   | 0       | 0      | loading |
      | 2   | 7       | 0      | loading |
      | 2   | 7       | 6      | loading |
      | 2   | 0       | 6      | loading |
      | 2   | 0       | 7      | failed  |
      | 3   | 0       | 0      | failed  |
      | 1   | 0       | 7      | loading |

  Scenario Outline: An abandoned load holds its slot until it has provably ended
    Given a load of v2 with token 7 on run 2 that is <age> s old and may take 300 s
    And the load was given up before
    When the engine reports run <run> without weights, loading <loading> and failed <failed>
    Then the load is <outcome>

    Examples:
      | age | run | loading | failed | outcome |
      | 350 | 2   | 7       | 0      | held    |
      | 350 | 2   | 0       | 0      | held    |
      | 350 | 2   | 0       | 7      | freed   |
      | 350 | 2   | 8       | 0      | freed   |
      | 350 | 3   | 0       | 0      | freed   |
      | 899 | 2   | 7       | 0      | held    |
      | 900 | 2   | 7       | 0      | freed   |

  Scenario Outline: The version that a model last served
    Given 6 engines of which 4 must stay ready, and <before> was served last
    When the engines serve <serving> while v2 is the declared version
    Then the version served last is <after>

    Examples:
      | before  | serving           | after   |
      | nothing | v1 v1 v1 v1 v1 v1 | v1      |
      | nothing | v1 v1 v1 v2 - -   | v1      |
      | nothing | - - - - - -       | nothing |
      | v1      | v2 v2 v2 v1 v1 v1 | v1      |
      | v1      | v2 v2 v2 - - -    | v1      |
      | v1      | v2 v2 v2 v2 v1 v1 | v2      |
      | v1      | - - - - - -       | v1      |

  Scenario Outline: The version that an engine loads after the rollout of v2 has stopped
    Given 6 engines of which 4 must stay ready, and <before> was served last
    When v2 has failed on two other engines and one that serves <serving> is <treatment>, <failed> having failed on it
    Then the engine is ordered to load <ordered>

    Examples:
      | before  | serving | treatment | failed  | ordered |
      | v1      | nothing | restored  | v2      | v1      |
      | v1      | nothing | restored  | nothing | v1      |
      | v1      | nothing | restored  | v1      | nothing |
      | v1      | nothing | left      | v2      | nothing |
      | v1      | v0      | restored  | nothing | nothing |
      | v2      | nothing | restored  | nothing | nothing |
      | nothing | nothing | restored  | v2      | nothing |

  Scenario: A planner whose record was changed by another planner gives no order
    Given two planners that have both read the placement record and both hold the lease
    When another version is declared and each planner runs one round
    Then the first planner gives an order and the second gives none
