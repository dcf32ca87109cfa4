Feature: A back end that states a request limit gets no more than that from all nodes together

  # Two back ends in need stated limits of 1.1 and 1.2 requests a second in their answers, for all
  # nodes together, and went on getting 3 to 4 a second, as before: 12 and 15 in 4 s from nodes that
  # they had told. Callers saw nothing of it, but the back ends were not relieved.
  Scenario: Two of nine back ends state limits at seven nodes
    Given 7 nodes of 4 zones before 9 back ends that speak
    When after 2 seconds "lm-1" states a limit of "1.1" and "lm-2" of "1.2"
    And each node is asked each 0.22 seconds for 14 seconds
    Then no limit is exceeded
    And all requests are answered
