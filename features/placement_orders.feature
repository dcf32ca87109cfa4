Feature: Engine orders and their reports, through both engine ports
  Guards against an order that reaches another run of an engine than it was meant for, against late
  orders that overtake newer ones, and against reports that hide a failed load.

  Scenario Outline: An order for another run is refused and changes nothing
    Given an engine in run 3 behind the "<port>" port
    When a role order with token 9 for run <run> is given and then one with token 5 for run 3
    Then the answers are <first> and <second> and the role is <role>

    Examples:
      | port       | run  | first            | second              | role    |
      | in-process | 2    | refused_mismatch | accepted            | prefill |
      | in-process | 4    | refused_mismatch | accepted            | prefill |
      | in-process | 3    | accepted         | refused_stale_order | decode  |
      | in-process | any  | accepted         | refused_stale_order | decode  |
      | HTTP       | 2    | refused_mismatch | accepted            | prefill |
      | HTTP       | 3    | accepted         | refused_stale_order | decode  |
      | HTTP       | any  | accepted         | refused_stale_order | decode  |

  Scenario Outline: A load report says which load is running and which has failed
    Given an engine in run 3 behind the "<port>" port
    When a load with token 4 is ordered that <ends>
    Then the report says loading 4 and failed 0 during the load, and loading 0 and failed <failed> after it

    Examples:
      | port       | ends     | failed |
      | in-process | succeeds | 0      |
      | in-process | fails    | 4      |
      | HTTP       | succeeds | 0      |
      | HTTP       | fails    | 4      |

  Scenario: A report without the later fields is decoded
    When a load report without role and load tokens is decoded
    Then its role is unknown and it reports no load
    And a load summary without them is decoded too
