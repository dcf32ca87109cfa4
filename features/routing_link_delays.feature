Feature: Expected delays between zones

  Guards against estimates with a wrong delay, for example when a zone is in no region or no
  configuration is in force.

  Scenario Outline: The delay follows from the regions of the configuration
    Given the regions "<regions>"
    When a node of zone "bole-hall" reads the delay to "<zone>"
    Then the delay is the one for <relation>

    Examples:
      | regions                           | zone        | relation       |
      | bole-hall,kirkos-hall             | bole-hall   | the same zone  |
      | bole-hall,kirkos-hall             | kirkos-hall | the same region |
      | bole-hall,kirkos-hall;hall-aalst  | hall-aalst  | another region |
      | bole-hall;kirkos-hall             | kirkos-hall | another region |
      | bole-hall                         | nowhere     | another region |
      | none                              | bole-hall   | the same zone  |
      | none                              | kirkos-hall | another region |
