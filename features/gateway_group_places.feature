Feature: Nodes keep their places in the groups, and tell their group at once what matters there

  Scenario: Nodes that leave for a while keep their places in the groups
    Given a directory of 79 nodes in 3 zones
    When 28 of them leave the registrations and come back 12 seconds later
    Then the groups are the same all along
    And those that are gone are no readers and are not counted after a second
    When 28 of them leave the registrations for good
    Then 21 seconds later the groups are those of the nodes that are left

  Scenario Outline: A long prompt is told to the group at once, a short one with the next message
    Given a gateway with a group of two whose messages go out each 5 seconds
    When it sends a prompt of which <tokens> tokens are to be read
    Then the other node hears of it <when>

    Examples:
      | tokens | when                |
      | 9000   | within a second     |
      | 500    | not within a second |
