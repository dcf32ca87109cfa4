Feature: An entry that another writer left in place of a registration names no back end, and harms nothing else

  # A back end whose entry another writer had overwritten went on being used, and one of which only a part
  # could be read was used with figures that nobody had stated.
  # Cause: an entry that could not be read was logged and left the last good state in force, a state
  # that nobody knows counted as leaving, and missing figures got a default.
  Scenario Outline: A foreign entry is refused as a whole, and the entries beside it hold
    Given a node that knows back ends "A" and "B"
    When the entry of "A" is written anew with <field> as <value>
    Then it uses "B" alone, and tells once that the entry of "A" cannot be read
    When the entry of "A" is written as before
    Then it uses "A" and "B"

    Examples:
      | field        | value                 |
      | service      | nothing               |
      | service      | ""                    |
      | service      | 5                     |
      | address      | nothing               |
      | address      | "here"                |
      | address      | "10.3.0.1"            |
      | address      | "10.3.0.1:99999"      |
      | address      | "10.3.0.1:-1"         |
      | address      | "host.example:80"     |
      | zone         | nothing               |
      | version      | nothing               |
      | version      | 5                     |
      | slots        | nothing               |
      | slots        | 0                     |
      | slots        | -5                    |
      | slots        | 1.5                   |
      | slots        | "4"                   |
      | state        | nothing               |
      | state        | "resting"             |
      | state        | true                  |
      | models       | 7                     |
      | born         | "1700000000000"       |
      | born         | -1                    |
      | born         | true                  |
      | the whole    | bytes that are no text |
      | the whole    | null                  |
      | the whole    | NaN                   |
      | the whole    | deep nesting          |
      | the whole    | a million letters     |
      | the whole    | a huge number         |

  Scenario Outline: It is the same however the entry is read first
    Given a node that knows back ends "A" and "B"
    When the entry of "A" is foreign, read <how>
    Then it uses "B" alone, and tells once that the entry of "A" cannot be read

    Examples:
      | how                         |
      | by the watch                |
      | with everything else        |
      | from another node           |
      | at the start of the node    |

  Scenario: Ten thousand foreign entries beside good ones
    Given a node that knows back ends "A" and "B"
    When 10000 foreign entries are read with everything else
    Then it uses "A" and "B"

  Scenario: No bytes ever end a reading
    Given any bytes, and good entries with any field changed, left out or doubled
    Then each is read as an entry or refused, and never anything else
