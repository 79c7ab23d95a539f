/* The subcommands, one file each in ctl/commands.  */

#ifndef CS_CTL_COMMANDS_H
#define CS_CTL_COMMANDS_H

/* Gets the arguments after its name; returns the exit status.  */
typedef int cs_command_fn (int argc, char **argv);

cs_command_fn cs_command_audit;
cs_command_fn cs_command_check;
cs_command_fn cs_command_drain;
cs_command_fn cs_command_explain;
cs_command_fn cs_command_release;
cs_command_fn cs_command_status;

#endif
