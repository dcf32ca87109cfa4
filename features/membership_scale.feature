Feature: Measuring hollow fleets

  Scenario: A small fleet is measured and its slope fitted
    When hollow fleets of 10 and 14 nodes are measured
    Then both are sound and the report names traffic, processor time and slopes

  Scenario: A size whose crashes would take all seeds is refused
    When hollow fleets of 5 and 10 nodes are measured
    Then the measurement is refused and names the least size

  Scenario: The slope of points on a line is that of the line
    Then the line through points of 3 + 0.5 x has intercept 3 and slope 0.5
