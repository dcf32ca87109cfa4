Feature: Digests stay within their byte budget
  Scenario Outline: The sample gets coarser with the rate of changes
    Given an index of 2000 blocks of which <changes> change a second
    When it is published for 150 seconds to <receivers> nodes with 2000 bytes a second
    Then the digests took at most 2600 bytes a second
    And the sample bits ended between <least> and <most>
    And the view ends equal to the sampled index

    Examples:
      | changes | receivers | least | most |
      | 0       | 1         | 0     | 0    |
      | 10      | 5         | 0     | 1    |
      | 400     | 5         | 3     | 6    |
      | 2000    | 5         | 5     | 9    |

  Scenario: A refinement given up leaves no block believed that is gone
    Given an index of 2000 blocks of which 400 change a second
    When it is published for 30 seconds to 1 nodes with 2000 bytes a second
    And nothing changes until a refinement is half sent
    And all blocks are removed in one batch
    And it is published for 60 seconds to 1 nodes with 2000 bytes a second
    Then the view ends equal to the sampled index

  Scenario: A full digest taken during a refinement stays true after it
    Given an index of 2000 blocks of which 400 change a second
    When it is published for 30 seconds to 1 nodes with 2000 bytes a second
    And nothing changes until a refinement is half sent
    And the view is lost and asks for everything
    And it is published for 60 seconds to 1 nodes with 2000 bytes a second
    Then the view ends equal to the sampled index

  Scenario: A digest and its request survive encoding within one cast
    Given an index of 2000 blocks of which 0 change a second
    When it is published for 20 seconds to 1 nodes with 100000 bytes a second
    Then every digest encodes to at most 1000 bytes and decodes to itself
