Feature: Connections of a node to the engines of a large deployment
  Guards against one idle connection per engine: a node asks each declared engine for its load when
  it starts, and most engines rarely after that.

  Scenario Outline: A port keeps a connection only after several calls
    Given an engine server and <ports> ports to it
    When each port asks for the load <times> times at once
    Then <connections> connections of these ports stay open

    Examples:
      | ports | times | connections |
      | 20    | 1     | 0           |
      | 20    | 3     | 20          |
