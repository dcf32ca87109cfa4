Feature: A region serves its own, and reads the store once for all its nodes

  Scenario Outline: A runner in <where> is chosen while the near one <near>
    Given a node in region one, and idle runners in regions one and two
    When the near runner has <requests> requests and <tokens> tokens waiting
    Then the runner in "<where>" is chosen

    Examples:
      | near             | requests | tokens | where |
      | is idle          | 0        | 0      | one   |
      | is a little busy | 4        | 800    | one   |
      | is overloaded    | 20       | 60000  | two   |

  Scenario Outline: Parts kept in <kept> are <fetched> by a runner in region one
    Given a node in region one, and idle runners in regions one and two
    When a runner in region "<kept>" keeps a prompt's parts and the near runner keeps none
    Then the near runner would get them <fetched>

    Examples:
      | kept | fetched     |
      | one  | from there  |
      | two  | by reading  |

  Scenario: Each region's runners save to, and fetch from, the region's own store
    Given a node in region one, and idle runners in regions one and two
    When kept stores stand in region two and region one, in this order
    Then runners of region "one" use the store in "one", and those of "two" that in "two"

  Scenario Outline: <regions> regions of <nodes> nodes each have <readers> readers, one a region at least
    Given <regions> regions of <nodes> nodes each
    Then <readers> nodes read the store, and every region has one

    Examples: one region is as before
      | regions | nodes | readers |
      | 1       | 7     | 2       |
      | 1       | 195   | 5       |
      | 2       | 33    | 2       |
      | 8       | 50    | 16      |

  Scenario: A node asks its region's reader, and another region's while that one is avoided
    Given 2 regions of 10 nodes each
    Then a node of region two asks the reader of region two
    And while that one is avoided it asks the reader of region one

  Scenario: A zone without a region is near to everything
    Given a node whose settings name no regions
    Then no zone is far from another
