Feature: An entry that another writer has put in place of a registration names no back end, and affects nothing else

  # Guards against a back end that is used although another writer has overwritten its entry, and against
  # one that is used with values that its entry does not state.
  # Cause: an unreadable entry was only logged, so the last valid state stayed in effect. An unknown
  # state counted as leaving, and missing values got defaults.
  Scenario Outline: A foreign entry is rejected as a whole, and the other entries stay valid
    Given a node that knows back ends "A" and "B"
    When the entry of "A" is overwritten with <field> as <value>
    Then the node uses only "B", and logs once that the entry of "A" is unreadable
    When the entry of "A" is written as it was
    Then the node uses "A" and "B"

    Examples:
      | field           | value                   |
      | service         | nothing                 |
      | service         | ""                      |
      | service         | 5                       |
      | address         | nothing                 |
      | address         | "here"                  |
      | address         | "10.3.0.1"              |
      | address         | "10.3.0.1:99999"        |
      | address         | "10.3.0.1:-1"           |
      | address         | "host.example:80"       |
      | zone            | nothing                 |
      | version         | nothing                 |
      | version         | 5                       |
      | slots           | nothing                 |
      | slots           | 0                       |
      | slots           | -5                      |
      | slots           | 1.5                     |
      | slots           | "4"                     |
      | state           | nothing                 |
      | state           | "resting"               |
      | state           | true                    |
      | models          | 7                       |
      | born            | "1700000000000"         |
      | born            | -1                      |
      | born            | true                    |
      | the whole entry | bytes that are not text |
      | the whole entry | null                    |
      | the whole entry | NaN                     |
      | the whole entry | deep nesting            |
      | the whole entry | a million letters       |
      | the whole entry | a huge number           |

  Scenario Outline: A foreign entry is rejected however it is first read
    Given a node that knows back ends "A" and "B"
    When the entry of "A" is foreign, read <how>
    Then the node uses only "B", and logs once that the entry of "A" is unreadable

    Examples:
      | how                      |
      | by a watch               |
      | in a full read           |
      | from another node        |
      | at the start of the node |

  Scenario: Ten thousand foreign entries beside valid ones
    Given a node that knows back ends "A" and "B"
    When 10000 foreign entries are read in a full read
    Then the node uses "A" and "B"

  Scenario: No bytes make a read fail
    Given any bytes, and valid entries with any field changed, omitted or duplicated
    Then each is read as an entry or rejected as unreadable, and nothing else happens
