/* The subcommands of cranberrystilectl, one file each in ctl/commands.  */

#ifndef CS_CTL_COMMANDS_H
#define CS_CTL_COMMANDS_H

/* Runs a subcommand; ARGV starts with its name.  Returns the exit status.  */
typedef int cs_command_fn (int argc, char **argv);

cs_command_fn cs_command_audit;
cs_command_fn cs_command_check;
cs_command_fn cs_command_check_routing; /* check --routing */
cs_command_fn cs_command_drain;
cs_command_fn cs_command_explain;
cs_command_fn cs_command_release;
cs_command_fn cs_command_status;

#endif
