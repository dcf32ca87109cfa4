Feature: Engines that may be chosen
  Scenario: Excluded and full engines are not chosen
    Given a policy without beliefs and engines
      | engine | outstanding | most |
      | e1     | 0           | 8    |
      | e2     | 8           | 8    |
      | e3     | 3           | 8    |
    When 50 different prompts are chosen for with "e1" excluded
    Then every choice is "e3"

  Scenario: Without any candidate nothing is chosen
    Given a policy without beliefs and engines
      | engine | outstanding | most |
      | e1     | 0           | 8    |
    When 1 different prompts are chosen for with "e1" excluded
    Then every choice is nothing
