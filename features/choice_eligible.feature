Feature: Engines that may be chosen

  Guards against a choice of an engine that the request excludes or that has no free place.

  Scenario: Excluded and full engines are not chosen
    Given a policy without cache knowledge and the engines
      | engine | outstanding | limit |
      | e1     | 0           | 8     |
      | e2     | 8           | 8     |
      | e3     | 3           | 8     |
    When engines are chosen for 50 different prompts with "e1" excluded
    Then every choice is "e3"

  Scenario: Without a candidate no engine is chosen
    Given a policy without cache knowledge and the engines
      | engine | outstanding | limit |
      | e1     | 0           | 8     |
    When engines are chosen for 1 different prompts with "e1" excluded
    Then no engine is chosen
