Feature: Loads in progress are settled by proof only
  Scenario Outline: What a report says of a load with token 7 in run 2
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
      | 300 | 2   | none    | 6     | no      | failed   |

  Scenario: A planner whose record was changed by another gives no order
    Given two planners that have both read the placement record and both hold the lease
    When another version is declared and each plans one round
    Then the first one gives an order and the second one gives none
