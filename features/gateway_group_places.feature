Feature: Nodes keep their places in the groups, and report long prompts to their group at once

  If nodes lost their places as soon as their registrations, a short outage of registrations would change
  all groups twice. Hence nodes keep their places for some seconds. A long prompt adds much load to its
  runner, and other nodes of the group must not choose the same runner until the next regular message.

  Scenario: Nodes that are not registered for a while keep their places in the groups
    Given a directory of 79 nodes in 3 zones
    When 28 of them lose their registrations and register again 12 seconds later
    Then the groups stay the same throughout
    And the unregistered nodes are no readers and are not counted after a second
    When 28 of them lose their registrations for good
    Then 21 seconds later the groups are those of the remaining nodes

  Scenario Outline: A long prompt is reported to the group at once, a short prompt with the next message
    Given a gateway in a group of two nodes that send gossip every 5 seconds
    When the gateway sends a prompt of which <tokens> tokens must be read
    Then the other node learns of the prompt <when>

    Examples:
      | tokens | when                |
      | 9000   | within a second     |
      | 500    | not within a second |
