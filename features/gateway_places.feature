Feature: A region serves its own requests, and one of its nodes reads the store for the others
  Guards against requests and fetches that cross the slow and expensive link between regions without
  need, and against a change of the store that crosses it once for each node.

  Scenario Outline: The engine in region <region> is chosen while the near one <near>
    Given a node in region one, and idle engines in regions one and two
    When the near engine has <requests> requests and <tokens> tokens waiting
    Then the engine in region "<region>" is chosen

    Examples:
      | near             | requests | tokens | region |
      | is idle          | 0        | 0      | one    |
      | is a little busy | 4        | 800    | one    |
      | is overloaded    | 20       | 60000  | two    |

  Scenario Outline: An engine in region one gets blocks that are cached in region <region> <how>
    Given a node in region one, and idle engines in regions one and two
    When an engine in region "<region>" caches a prompt's blocks and the near engine caches none
    Then the near engine would get them <how>

    Examples:
      | region | how        |
      | one    | by a fetch |
      | two    | by prefill |

  Scenario: Engines save blocks to, and fetch them from, the kept-KV store of their own region
    Given a node in region one, and idle engines in regions one and two
    When kept-KV stores are configured in region two and region one, in this order
    Then engines in region "one" use the store in "one", and those in "two" the store in "two"

  Scenario Outline: <regions> regions of <nodes> nodes have <readers> readers, at least one per region
    Given <regions> regions of <nodes> nodes each
    Then <readers> nodes read the store, at least one of them in every region

    Examples: a single region has at least two readers
      | regions | nodes | readers |
      | 1       | 7     | 2       |
      | 1       | 195   | 5       |
      | 2       | 33    | 2       |
      | 8       | 50    | 16      |

  Scenario: A node queries its region's reader, or another region's while that reader is avoided
    Given 2 regions of 10 nodes each
    Then a node in region two queries the reader of region two
    And while that reader is avoided the node queries the reader of region one

  Scenario: A zone without a region never counts as another region
    Given a node whose settings name no regions
    Then no two zones count as different regions
