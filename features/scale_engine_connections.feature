Feature: Connections of a node to the engines of a large deployment
  A node asks each declared engine for its load when it starts, and most of them rarely after that.

  Scenario Outline: Engines that are asked once keep no connection
    Given an engine server that <ports> ports lead to
    When each port asks for the load <times> times at once
    Then <connections> connections of these ports are left open

    Examples:
      | ports | times | connections |
      | 20    | 1     | 0           |
      | 20    | 3     | 20          |
